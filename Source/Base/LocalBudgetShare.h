#pragma once

#include "Base/Milliseconds.h"
#include "Base/Random.h"

#include <string>
#include <unordered_map>

namespace burlreach {

/**
 * This instance's share of budgets that the whole fleet shares without communication, one budget per key.
 *
 * The share is available in whole units per time window. The fractional part is drawn at random for each key and
 * window: 0.1 units a window become one unit in one of ten windows on average. Units that are not used expire with the
 * window. So an instance can use a share far below one unit a window from the start, and instances that start or resume
 * together do not all spend saved units at once.
 */
class LocalBudgetShare {
public:
    /** The share of this instance in the budget of one key. */
    struct Rate {
        double perSecond = 0; // units
        Milliseconds window{ 1000 };
    };

    /** True if a unit is left in the present window. */
    bool has(const std::string& key, const Rate& part, Random& random, Milliseconds now);
    /** Takes a unit; false if none is left in the present window. */
    bool take(const std::string& key, const Rate& part, Random& random, Milliseconds now);
    void forget(const std::string& key) { this->allowances.erase(key); }

private:
    struct Allowance {
        unsigned left = 0; // units
        Milliseconds until = LongAgo; // end of the window
    };

    Allowance& currentAllowance(const std::string& key, const Rate& part, Random& random, Milliseconds now);

    std::unordered_map<std::string, Allowance> allowances;
};

}
