#pragma once

#include "Base/Milliseconds.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace burlreach {

/** Permission to send one request to a backend server with a limit, within a period. */
struct SendPermit {
    Milliseconds from;
    Milliseconds until;
};

/**
 * The permits of this instance for one life of a backend server.
 *
 * A server without a limit needs no permits. With one, each request uses up a permit. This instance requests permits
 * from the instance that grants them; a numbered request is answered with a permit or a denial.
 */
class SendPermits {
public:
    /** The server reported a limit at this time, for the first time or again. */
    void setLimited(Milliseconds at);
    /** The server no longer has a limit. */
    void lift();
    bool isLimited() const { return this->limited; }
    /** No instance has had a report from the server for so long that the limit may be out of date. */
    bool isLimitStale(Milliseconds now) const;

    /** True when a request may be sent now. */
    bool allows(Milliseconds now) const;
    /** Called for each request that is sent; returns the permit that it uses up, if it needs one. */
    std::optional<SendPermit> take(Milliseconds now);
    /** Adds a permit that was granted, or that was taken but not used. */
    void add(const SendPermit& permit);

    /** True when there is a permit, or one has been requested and the answer is not overdue. */
    bool isExpected(Milliseconds now) const;
    /** True when a permit may be requested: none is available or requested, and no recent denial forbids it. */
    bool mayRequestPermit(Milliseconds now) const;
    /** A permit was requested under this number; without an answer by `answerDue` another one may be requested. */
    void permitRequested(std::uint64_t number, Milliseconds answerDue);
    bool isAwaited(std::uint64_t number) const { return this->pendingRequest && this->pendingRequest == number; }
    /** A permit was requested, and no answer came in time. */
    bool hasRequestTimedOut(Milliseconds now) const { return this->pendingRequest && now >= this->answerDue; }
    /** The answer arrived, or is no longer awaited. */
    void requestCompleted() { this->pendingRequest = 0; }
    /** The request was denied: no permit may be requested before this time. */
    void denied(Milliseconds until);
    /** Earliest time at which a permit may be available, as far as this instance knows. */
    Milliseconds nextPermitAt(Milliseconds now) const;

private:
    bool isAwaiting(Milliseconds now) const { return this->pendingRequest && now < this->answerDue; }

    bool limited = false;
    Milliseconds reportedAt = LongAgo;
    std::vector<SendPermit> permits;
    std::uint64_t pendingRequest = 0; // number of the pending request; 0: none
    Milliseconds answerDue = LongAgo;
    Milliseconds deniedUntil = LongAgo;
};

}
