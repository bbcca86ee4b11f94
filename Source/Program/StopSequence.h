#pragma once

#include "Base/Milliseconds.h"

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

    explicit StopSequence(Options options);

    void begin(Milliseconds now);
    /** The step at this time; true in hasWork keeps the process from ending before the bound. */
    Step advance(bool hasWork, Milliseconds now);
    Step step() const { return this->current; }

private:
    Options options;
    Step current = Step::None;
    Milliseconds began;
};

}
