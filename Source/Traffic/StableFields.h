#pragma once

#include "Http/HttpMessage.h"
#include "Traffic/TrafficDialect.h"

#include <cstdint>

namespace burlreach {

/**
 * Hashes the header fields that stay the same when a caller repeats its
 * request, independently of their order. Left out are the fields of the
 * connection, the ids and times of one attempt, and trace contexts, which are
 * new in each attempt.
 */
std::uint64_t hashStableFields(const HttpRequest& request, const TrafficDialect& dialect);

}
