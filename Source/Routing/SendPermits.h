#pragma once

#include "Base/Milliseconds.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace burlreach {

/** Lets one request through to a backend server that has named a limit. */
struct SendPermit {
    Milliseconds from;
    Milliseconds until;
};

/**
 * What this instance may send to one life of a backend server.
 *
 * As long as the server names no limit it may be sent anything. Else each
 * request needs a permit, which is asked for with a number and comes with the
 * answer.
 */
class SendPermits {
public:
    /** The server named a limit, or said again that it has one. */
    void limit(Milliseconds wordAt);
    /** The server names no limit any more. */
    void lift();
    bool isLimited() const { return this->limited; }
    /** Nobody has heard from the server for so long that its word may be out of date. */
    bool isWordOld(Milliseconds now) const;

    /** A request may be sent now. */
    bool allows(Milliseconds now) const;
    /** A request is sent; gives the permit that it uses, if it needs one. */
    std::optional<SendPermit> take(Milliseconds now);
    /** A permit came, or was not used. */
    void give(const SendPermit& permit);

    /** A permit is here, or asked for. */
    bool isExpected(Milliseconds now) const;
    /** True when a permit may be asked for: none is expected, and none was denied just before. */
    bool mayAsk(Milliseconds now) const;
    /** A permit is asked for; without an answer by then another one may be. */
    void asked(std::uint64_t number, Milliseconds answerDue);
    bool isAwaited(std::uint64_t number) const { return this->ask && this->ask == number; }
    /** One was asked for, and no answer came in time. */
    bool isUnanswered(Milliseconds now) const { return this->ask && now >= this->answerDue; }
    /** The answer came, or is not awaited any more. */
    void answered() { this->ask = 0; }
    /** There is no permit before this time. */
    void denied(Milliseconds until);
    /** When there may be a permit, as far as it is known here. */
    Milliseconds nextChance(Milliseconds now) const;

private:
    bool isAwaiting(Milliseconds now) const { return this->ask && now < this->answerDue; }

    bool limited = false;
    Milliseconds wordAt = LongAgo;
    std::vector<SendPermit> permits;
    std::uint64_t ask = 0; // 0: none is under way
    Milliseconds answerDue = LongAgo;
    Milliseconds deniedUntil = LongAgo;
};

}
