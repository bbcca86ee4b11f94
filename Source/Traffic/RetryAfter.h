#pragma once

#include "Base/Milliseconds.h"
#include "Http/HttpMessage.h"

#include <optional>

namespace burlreach {

/**
 * Returns for how long the sender of an answer wants no requests, as its
 * Retry-After field says: seconds, with or without a fraction, or a date. A
 * date is compared with the answer's own Date field, so that the two clocks
 * need not agree, or with the local clock if there is no such field. Returns
 * nothing if Retry-After is missing or unreadable, zero for a date in the past.
 */
std::optional<Milliseconds> retryAfterOf(const HttpFields& fields);

}
