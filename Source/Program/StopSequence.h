#pragma once

#include "Base/Milliseconds.h"

#include <cstddef>
#include <cstdint>

namespace burlreach {

/**
 * The steps of a planned stop. First nobody new should be sent here while what
 * comes is still served; then nothing new is taken and what is under way ends;
 * then the process ends, at the latest at the bound.
 */
class StopSequence {
public:
    enum class Step {
        None,
        Announced, // not ready any more; new requests are still served
        Draining, // no new connections; requests under way end
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
     * The step at this time. Until the bound the process ends only when nothing
     * is left by a count that was asked for at the look before, after the one
     * that began the draining: an older count says nothing of what a late
     * thread has accepted since.
     */
    Step advance(const CountedWork& work, Milliseconds now);
    Step step() const { return this->current; }
    /** The number of the last look; the next count is made for it. */
    std::uint64_t look() const { return this->looks; }

private:
    Options options;
    Step current = Step::None;
    Milliseconds began;
    std::uint64_t looks = 0;
    std::uint64_t drainingSince = 0; // the look that began it
};

}
