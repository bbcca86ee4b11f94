#pragma once

namespace burlreach {

/** Token bucket that is filled by arrivals instead of by time: admits a bounded share of the arrivals. */
class ArrivalTokenBucket {
public:
    struct Options {
        double share = 0.1; // tokens per arrival
        double most = 3; // maximum of saved tokens, for bursts
    };

    explicit ArrivalTokenBucket(const Options& options);

    /** Counts an arrival, whether or not it needs a token. */
    void countArrival();
    /** Takes a token; false when there is none. */
    bool take();

private:
    Options options;
    double tokens = 1;
};

}
