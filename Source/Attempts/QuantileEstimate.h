#pragma once

#include "Base/Milliseconds.h"

namespace burlreach {

/** Follows a quantile of response times in constant memory. */
class QuantileEstimate {
public:
    explicit QuantileEstimate(double quantile);

    void add(Milliseconds value);
    /** False until enough values were seen. */
    bool known() const;
    Milliseconds value() const { return this->estimate; }

private:
    double quantile;
    Milliseconds estimate;
    Milliseconds spread{ 1 }; // mean distance of values from the estimate: sets the step
    unsigned count = 0;
};

}
