#pragma once

#include "Store/ItemWriter.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace burlreach {

/** The key under which the number of instances is kept, in every form of the store. */
inline constexpr const char* FleetSizeKey = "burlreach/fleet-size";

/** nullopt when the value is not a number. */
std::optional<std::size_t> readFleetSize(std::string_view value);

/**
 * Keeps the store's record of the number of instances up to date. Every instance receives it with the rest of the
 * store's items, so a new life knows the size of the fleet also while it reaches no other instance.
 */
class FleetSizeRecorder {
public:
    FleetSizeRecorder(StoreCallNumbers& numbers, Random& random);

    /** Schedules a check if the record should hold another number than the one that is stored. */
    void update(std::size_t wanted, std::size_t stored, Milliseconds now);
    bool isDue(Milliseconds now) const { return this->writer.isDue(now); }
    /** The write to send, if one is needed. stored is this instance's copy of the stored item, or null. */
    std::optional<StoreRequest> nextWrite(std::size_t wanted, const StoreItem* stored, bool leads, Milliseconds now);
    /** True when the answer belongs to a call of this object. */
    bool answered(const StoreAnswer& answer, Milliseconds now) { return this->writer.answered(answer, now); }
    /** The item written and acknowledged since the last call of this function. */
    std::optional<StoreItem> takeWritten() { return this->writer.takeWritten(); }
    Milliseconds nextDue() const { return this->writer.nextDue(); }

private:
    ItemWriter writer;
};

}
