#pragma once

#include "Base/Milliseconds.h"
#include "Node/StopTimes.h"

#include <cstddef>
#include <cstdint>

namespace burlreach {

/**
 * The steps of a planned stop:
 * 1. Announced: readiness checks fail, so that no new callers are directed here;
 *    callers that come anyway are still served.
 * 2. Draining: requests in progress finish; late callers are still served.
 * 3. Closing: when no unfinished work is left and no caller has connected
 *    recently, or after half of the time between `lead` and `bound`, the listener
 *    is closed; requests on the last connections finish.
 * 4. Ended: the process exits, at the latest at the time limit (`bound`).
 *
 * The listener is closed as late as possible, since closing it can reset
 * callers that connect at that moment (HttpListener::refuseNewConnections()).
 */
class StopSequence {
public:
    enum class Step {
        None,
        Announced, // readiness checks fail; new requests are still served
        Draining, // requests in progress finish; those of late callers are still served
        Closing, // no new connections; requests on the last ones finish
        Ended
    };

    struct Options {
        Milliseconds lead{ 2500 }; // until all clients of the readiness check have noticed
        Milliseconds bound{ 30000 };
    };

    /** Unfinished work as the traffic thread counted it, and the call of advance() for which it was counted. */
    struct CountedWork {
        std::size_t unfinished = 0;
        std::uint64_t look = 0;
    };

    explicit StopSequence(Options options);

    void begin(Milliseconds now);
    /**
     * Moves to the next step when it is due, and returns the current step.
     * Before the time limits, Draining and Closing are over only when a count
     * of zero was requested at the previous call (look) or later, and after the
     * call that began the step. The traffic thread may be delayed: an older
     * count does not include what it has accepted since.
     */
    Step advance(const CountedWork& work, Milliseconds now);
    Step step() const { return this->current; }
    /** The times that decide which requests are still taken; those of no stop before begin(). */
    StopTimes times() const;
    /** The number of the last call of advance(); the next count is made for it. */
    std::uint64_t look() const { return this->looks; }

private:
    void enter(Step next);
    /** Returns true when the listener must close even though callers keep connecting. */
    bool mustClose(Milliseconds since) const;

    Options options;
    Step current = Step::None;
    Milliseconds began;
    std::uint64_t looks = 0;
    std::uint64_t stepSince = 0; // the look at which the current step began
};

}
