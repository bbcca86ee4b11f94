#pragma once

#include "Base/Milliseconds.h"

#include <cstddef>
#include <cstdint>

namespace burlreach {

/**
 * The steps of a planned stop. First nobody new should be sent here while what
 * comes is still served; then what is under way ends, and late callers are
 * still served; when nobody has come for a moment the listening ends, and then
 * the process, at the latest at the bound.
 *
 * The listening ends last, as near to the end of the process as can be, since
 * its end can reset callers that connect just then (HttpListener::refuseNew()).
 */
class StopSequence {
public:
    enum class Step {
        None,
        Announced, // not ready any more; new requests are still served
        Draining, // requests under way end; those of late callers are still served
        Closing, // no new connections; what came with the last ones ends
        Ended
    };

    struct Options {
        Milliseconds lead{ 2500 }; // until those who ask for readiness have noticed
        Milliseconds bound{ 30000 };
    };

    /** Work as the thread that carries it counted it, at one of the looks of advance(). */
    struct CountedWork {
        std::size_t unfinished = 0;
        std::uint64_t look = 0;
    };

    explicit StopSequence(Options options);

    void begin(Milliseconds now);
    /**
     * The step at this time. Until the bound a step of the end is over only when
     * nothing is left by a count that was asked for at the look before, after
     * the one that began the step: an older count says nothing of what a late
     * thread has accepted since.
     */
    Step advance(const CountedWork& work, Milliseconds now);
    Step step() const { return this->current; }
    /** The number of the last look; the next count is made for it. */
    std::uint64_t look() const { return this->looks; }

private:
    void enter(Step next);
    /** Callers that come without end do not keep the listening open for ever. */
    bool mustClose(Milliseconds since) const;

    Options options;
    Step current = Step::None;
    Milliseconds began;
    std::uint64_t looks = 0;
    std::uint64_t stepSince = 0; // the look that began the present step
};

}
