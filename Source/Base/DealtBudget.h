#pragma once

#include "Base/Milliseconds.h"
#include "Base/Random.h"

#include <string>
#include <unordered_map>

namespace burlreach {

/**
 * An instance's part of a budget that a whole fleet shares without talking, one
 * a key. It is dealt in windows: for each key and window a draw says how much
 * may be spent, and what is not used is gone. So a part that is far less than
 * one a window can be spent from the first moment on, and instances that start
 * or wake together do not spend at once what each of them saved up.
 */
class DealtBudget {
public:
    /** What this instance may spend of one key. */
    struct Part {
        double perSecond = 0;
        Milliseconds window{ 1000 };
    };

    bool has(const std::string& key, const Part& part, Random& random, Milliseconds now);
    /** True when one may be spent; it then is. */
    bool take(const std::string& key, const Part& part, Random& random, Milliseconds now);
    void forget(const std::string& key) { this->allowances.erase(key); }

private:
    struct Allowance {
        unsigned left = 0;
        Milliseconds until = LongAgo; // end of its window
    };

    Allowance& current(const std::string& key, const Part& part, Random& random, Milliseconds now);

    std::unordered_map<std::string, Allowance> allowances;
};

}
