#pragma once

#include "Base/Milliseconds.h"

namespace burlreach {

/**
 * How long a backend server takes to answer. It rises at once with a slow
 * answer and falls slowly, so that a sudden slow-down is seen after one answer.
 */
class ResponseEstimate {
public:
    void add(Milliseconds response, Milliseconds now);
    void clear();

    bool known() const { return this->samples > 0; }
    Milliseconds value() const { return this->estimate; }
    /** The fastest that it has been lately: the time without waiting. */
    Milliseconds unloaded() const { return this->fastest; }

private:
    Milliseconds estimate;
    Milliseconds fastest;
    Milliseconds updated;
    unsigned samples = 0;
};

}
