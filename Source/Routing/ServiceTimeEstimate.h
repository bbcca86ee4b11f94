#pragma once

#include "Base/Milliseconds.h"

namespace burlreach {

/**
 * How long a backend server works on one request, without the time that the
 * request waits there behind others.
 */
class ServiceTimeEstimate {
public:
    /** The crowd is how many requests stood for each slot when it was sent, at least 1. */
    void add(Milliseconds response, double crowd, Milliseconds now);
    void clear();

    bool known() const { return this->samples > 0; }
    Milliseconds value() const { return this->estimate; }
    /** The mean of the pool counts the more, the older the last sample is. */
    Milliseconds value(Milliseconds poolMean, Milliseconds now) const;

private:
    Milliseconds estimate;
    Milliseconds updated;
    unsigned samples = 0;
};

}
