#include "Metrics/LatencyHistogram.h"

#include <sstream>

namespace burlreach {

namespace {

constexpr unsigned BucketCount = 60;
constexpr double LowestMilliseconds = 0.01;
constexpr double HighestMilliseconds = 60000;
constexpr double MillisecondsPerSecond = 1000;

}

LatencyHistogram::LatencyHistogram()
    : histogram(boost::histogram::make_histogram(Axis(BucketCount, LowestMilliseconds, HighestMilliseconds)))
{
}

void LatencyHistogram::add(Milliseconds value)
{
    const std::lock_guard lock(this->mutex);
    this->histogram(value.count);
    this->sum = this->sum + value;
}

std::uint64_t LatencyHistogram::count() const
{
    const std::lock_guard lock(this->mutex);
    return static_cast<std::uint64_t>(boost::histogram::algorithm::sum(this->histogram));
}

Milliseconds LatencyHistogram::quantile(double share) const
{
    const std::lock_guard lock(this->mutex);
    const double wanted = share * boost::histogram::algorithm::sum(this->histogram);
    double reached = 0;
    for (const auto& bucket : boost::histogram::indexed(this->histogram, boost::histogram::coverage::all)) {
        reached += *bucket;
        if (reached >= wanted)
            return { bucket.bin().upper() };
    }
    return { HighestMilliseconds };
}

void LatencyHistogram::write(std::string& text, std::string_view name, std::string_view labels) const
{
    const std::lock_guard lock(this->mutex);
    std::ostringstream out;
    double reached = 0;
    const std::string_view comma = labels.empty() ? "" : ",";
    for (const auto& bucket : boost::histogram::indexed(this->histogram, boost::histogram::coverage::all)) {
        reached += *bucket;
        const double upper = bucket.bin().upper() / MillisecondsPerSecond;
        if (bucket.index() < static_cast<int>(BucketCount))
            out << name << "_bucket{" << labels << comma << "le=\"" << upper << "\"} " << reached << '\n';
    }
    out << name << "_bucket{" << labels << comma << "le=\"+Inf\"} " << reached << '\n';
    out << name << "_sum{" << labels << "} " << this->sum.count / MillisecondsPerSecond << '\n';
    out << name << "_count{" << labels << "} " << reached << '\n';
    text += out.str();
}

}
