#include "Attempts/QuantileEstimate.h"

#include <cmath>

namespace burlreach {

namespace {

constexpr unsigned EnoughValues = 100;
constexpr double StepShare = 0.05;
constexpr double SpreadShare = 0.05;

}

QuantileEstimate::QuantileEstimate(double givenQuantile)
    : quantile(givenQuantile)
{
}

void QuantileEstimate::add(Milliseconds value)
{
    if (!this->count++) {
        this->estimate = value;
        return;
    }
    const Milliseconds distance = value - this->estimate;
    this->spread = this->spread + (Milliseconds{ std::abs(distance.count) } - this->spread) * SpreadShare;
    const double direction = distance.count > 0 ? this->quantile : this->quantile - 1;
    this->estimate = this->estimate + this->spread * (StepShare * direction);
}

bool QuantileEstimate::known() const
{
    return this->count >= EnoughValues;
}

}
