#include "Base/Hash.h"

#include <xxhash.h>

namespace burlreach {

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

}
