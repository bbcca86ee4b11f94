#include "Traffic/CallerExchange.h"

#include <algorithm>
#include <array>
#include <strings.h>

namespace burlreach {

bool isHopByHop(std::string_view name)
{
    constexpr std::array<const char*, 9> names{ "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
        "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection" };
    const std::string text(name);
    return std::any_of(names.begin(), names.end(), [&](const char* item) { return !strcasecmp(item, text.c_str()); });
}

}
