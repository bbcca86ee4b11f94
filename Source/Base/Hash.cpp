#include "Base/Hash.h"

#include <xxhash.h>

namespace burlreach {

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::uint32_t shortHashOf(std::string_view text)
{
    return XXH32(text.data(), text.size(), 0);
}

}
