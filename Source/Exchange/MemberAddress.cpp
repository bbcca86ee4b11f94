#include "Exchange/MemberAddress.h"

namespace burlreach {

NetworkAddress addressOf(const peers::Member& member)
{
    return { .host = member.address(), .port = static_cast<std::uint16_t>(member.port()) };
}

}
