#pragma once

namespace burlreach {

/**
 * Bounds retries and hedges to a share of the first attempts, so that they do
 * not multiply an overload.
 */
class RetryBudget {
public:
    explicit RetryBudget(double share);

    void setShare(double share) { this->share = share; }
    void firstAttempt();
    /** True when one more attempt may be made; it is then counted. */
    bool take();

private:
    double share;
    double saved;
};

}
