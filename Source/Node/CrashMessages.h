#pragma once

#include "Crashes/RequestDigest.h"
#include "Crashes/ServerEnd.h"
#include "peers.pb.h"

#include <optional>

namespace burlreach {

/** A server crash during a request, as exchanged between instances. */
struct ToldEnd {
    RequestDigest digest;
    ServerEnd end;
};

/** An answer to a request suspected of crashing servers, as exchanged between instances. */
struct ToldAnswer {
    RequestDigest digest;
    std::uint64_t caller = 0; // see callerNumber(); 0: an answer to some caller, not known to which
    Milliseconds at;
};

void write(const ToldEnd& told, Milliseconds now, peers::ServerEnd& message);
void write(const ToldAnswer& told, Milliseconds now, peers::RequestAnswered& message);
/** Empty when the message is malformed. The time is computed from the message's age relative to now. */
std::optional<ToldEnd> read(const peers::ServerEnd& message, Milliseconds now);
std::optional<ToldAnswer> read(const peers::RequestAnswered& message, Milliseconds now);

}
