#pragma once

#include "Routing/AttemptResult.h"

#include <optional>
#include <string_view>

namespace burlreach {

/** Reads "RUNNING,WAITING,SLOTS,PERCENT"; figures may be missing from the end. Nothing when it is no such list. */
std::optional<LoadFigures> parseLoad(std::string_view text);

/** Reads a whole number of milliseconds; nothing when it is none. */
std::optional<Milliseconds> parseMilliseconds(std::string_view text);

/** Whole milliseconds, at least 1. */
std::string millisecondsText(Milliseconds span);

/** Seconds with fractions, as in "0.25". */
std::string secondsText(Milliseconds span);

}
