#pragma once

#include "Base/Milliseconds.h"

#include <cstddef>
#include <string>

namespace burlreach {

/** Records what a planned stop waited for and for how long, for the log. */
class StopWaits {
public:
    /** What is unfinished at one time. */
    struct Unfinished {
        std::size_t requests = 0; // in progress
        std::size_t callers = 0; // connections that have just been made, are sending a request or await an answer
    };

    void begin(Milliseconds now) { this->began = now; }
    void note(const Unfinished& unfinished, Milliseconds now);
    /** Log fields: the last counts, and until when each was not zero, in milliseconds since the begin. */
    std::string fields(Milliseconds now) const;

private:
    Milliseconds began;
    Unfinished last;
    Milliseconds requestsUntil;
    Milliseconds callersUntil;
};

}
