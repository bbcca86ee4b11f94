#pragma once

#include "Base/Milliseconds.h"
#include "Http/HttpMessage.h"

#include <optional>

namespace burlreach {

/**
 * For how long the sender of an answer wants nothing, by its Retry-After:
 * seconds, with fractions or without, however many, or a date. A date counts
 * from the answer's own Date, so that no two clocks need to agree, else from
 * the time of day here. Nothing when the field is missing or is neither; zero
 * for a date that has passed.
 */
std::optional<Milliseconds> retryAfterOf(const HttpFields& fields);

}
