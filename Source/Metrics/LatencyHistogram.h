#pragma once

#include "Base/Milliseconds.h"

#include <boost/histogram.hpp>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace burlreach {

/** Times in buckets of equal ratio, from a hundredth of a millisecond to a minute. */
class LatencyHistogram {
public:
    LatencyHistogram();

    void add(Milliseconds value);
    /** The upper end of the bucket in which this share of the values is reached. */
    Milliseconds quantile(double share) const;
    std::uint64_t count() const;
    /** Appends it as a histogram in seconds, in the text exposition format. */
    void write(std::string& text, std::string_view name, std::string_view labels) const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

    mutable std::mutex mutex;
    Histogram histogram;
    Milliseconds sum;
};

}
