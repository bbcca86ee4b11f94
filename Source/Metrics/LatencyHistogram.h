#pragma once

#include "Base/Milliseconds.h"

#include <boost/histogram.hpp>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace burlreach {

/** Histogram of latencies with logarithmic buckets, from 0.01 ms to one minute. */
class LatencyHistogram {
public:
    LatencyHistogram();

    void add(Milliseconds value);
    /** Returns the upper bound of the bucket that contains this quantile (0 to 1). */
    Milliseconds quantile(double share) const;
    std::uint64_t count() const;
    /** Appends the histogram, in seconds, in the Prometheus text exposition format. */
    void write(std::string& text, std::string_view name, std::string_view labels) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    mutable std::mutex mutex;
    Histogram histogram;
    Milliseconds sum;
};

}
