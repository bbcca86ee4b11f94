#include "Node/FleetSizeRecorder.h"

#include <charconv>
#include <string>

namespace burlreach {

namespace {

/** Instances that are started together are all known after this time, and are recorded with one write. */
constexpr Milliseconds SettleDelay{ 1000 };

}

std::optional<std::size_t> readFleetSize(std::string_view value)
{
    std::size_t size = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), size);
    const bool isWhole = error == std::errc{} && end == value.data() + value.size();
    return isWhole ? std::optional(size) : std::nullopt;
}

FleetSizeRecorder::FleetSizeRecorder(StoreCallNumbers& numbers, Random& random)
    : writer({ .key = FleetSizeKey, .settleDelay = SettleDelay }, numbers, random)
{
}

void FleetSizeRecorder::update(std::size_t wanted, std::size_t stored, Milliseconds now)
{
    if (wanted != stored)
        this->writer.scheduleCheck(now);
}

std::optional<StoreRequest> FleetSizeRecorder::nextWrite(
    std::size_t wanted, const StoreItem* stored, bool leads, Milliseconds now)
{
    if (stored && readFleetSize(stored->value) == wanted) {
        this->writer.nothingToWrite();
        return std::nullopt;
    }
    return this->writer.write(std::to_string(wanted), stored, leads, now);
}

}
