#include "Crashes/ServerCrash.h"

#include "Base/Hash.h"

namespace burlreach {

std::uint64_t serverHash(std::string_view id, std::uint64_t life)
{
    return hashOf(id, life);
}

}
