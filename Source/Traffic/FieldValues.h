#pragma once

#include "Routing/AttemptResult.h"

#include <optional>
#include <string_view>

namespace burlreach {

/** Parses "RUNNING,WAITING,SLOTS,PERCENT"; values may be missing at the end. Returns nothing for any other text. */
std::optional<ReportedLoad> parseLoad(std::string_view text);

/** Parses a whole number of milliseconds; returns nothing for any other text. */
std::optional<Milliseconds> parseMilliseconds(std::string_view text);

/** Formats a duration as whole milliseconds, rounded down, but at least 1. */
std::string formatMilliseconds(Milliseconds duration);

/** Formats a duration as seconds with three decimals, as in "0.250". */
std::string formatSeconds(Milliseconds duration);

}
