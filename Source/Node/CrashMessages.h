#pragma once

#include "Crashes/RequestDigest.h"
#include "Crashes/ServerCrash.h"
#include "peers.pb.h"

#include <optional>

namespace burlreach {

/** A server crash during a request, as exchanged between instances. */
struct CrashReport {
    RequestDigest digest;
    ServerCrash end;
};

/** An answer to a request suspected of crashing servers, as exchanged between instances. */
struct AnswerReport {
    RequestDigest digest;
    std::uint64_t caller = 0; // see callerHash(); 0: an answer to some caller, not known to which
    Milliseconds at;
};

void write(const CrashReport& report, Milliseconds now, peers::ServerEnd& message);
void write(const AnswerReport& report, Milliseconds now, peers::RequestAnswered& message);
/** Empty when the message is malformed. The time is computed from the message's age relative to now. */
std::optional<CrashReport> read(const peers::ServerEnd& message, Milliseconds now);
std::optional<AnswerReport> read(const peers::RequestAnswered& message, Milliseconds now);

}
