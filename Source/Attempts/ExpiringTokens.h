#pragma once

#include "Base/Milliseconds.h"

#include <cstddef>
#include <deque>

namespace burlreach {

/**
 * Permission for single actions that is earned in fractions and expires when it is not used.
 *
 * Begins without tokens. So actions within any span of time are at most the tokens earned in that span and one lifetime
 * before it, whether one object earned them or several that followed each other.
 */
class ExpiringTokens {
public:
    /**
     * A token is usable for `lifetime` after it was earned. `phase`, from 0 to 1, is the fraction of the first token
     * that counts as earned at the start; a random one makes the number of whole tokens equal to the earned sum on
     * average, however often objects are replaced.
     */
    ExpiringTokens(Milliseconds lifetime, double phase);

    /** Adds a number of tokens, which may be a fraction, earned evenly in this span of time up to now. */
    void earn(double tokens, Milliseconds span, Milliseconds now);
    bool has(Milliseconds now);
    /** Uses the oldest token; false if there is none. */
    bool take(Milliseconds now);

private:
    void expire(Milliseconds now);

    Milliseconds lifetime;
    double fraction; // of the next token that has been earned
    std::deque<Milliseconds> earnedAt; // of each unused token, oldest first
};

}
