#pragma once

namespace burlreach {

/** True for the statuses by which an instance promises on the users' platform that a request has not run. */
constexpr bool isPromise(unsigned status)
{
    constexpr unsigned timeout = 408;
    constexpr unsigned misdirected = 421;
    constexpr unsigned tooMany = 429;
    constexpr unsigned unavailable = 503;
    return status == timeout || status == misdirected || status == tooMany || status == unavailable;
}

}
