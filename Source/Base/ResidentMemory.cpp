#include "Base/ResidentMemory.h"

#include <fstream>
#include <unistd.h>

namespace burlreach {

std::size_t residentBytes()
{
    std::size_t allPages = 0;
    std::size_t residentPages = 0;
    std::ifstream("/proc/self/statm") >> allPages >> residentPages;
    return residentPages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

}
