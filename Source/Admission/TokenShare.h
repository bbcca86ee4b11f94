#pragma once

namespace burlreach {

/** Lets a bounded share of what arrives have something that not all can have. */
class TokenShare {
public:
    struct Options {
        double share = 0.1; // of the arrivals
        double most = 3; // saved up for a moment when several need it
    };

    explicit TokenShare(const Options& options);

    void arrived();
    /** True when one more may have it; it is then counted. */
    bool take();

private:
    Options options;
    double tokens = 1;
};

}
