#pragma once

#include "Base/Milliseconds.h"
#include "configuration.pb.h"

#include <string_view>

namespace burlreach {

/** How one request is to be treated. */
struct RequestClass {
    v1::Repeat repeat = v1::RUN_ONCE;
    v1::Priority priority = v1::FIRST;
    Milliseconds deadline;
};

/**
 * Finds the rule for a request: the longest path prefix wins, then a named
 * method. Without a rule GET, HEAD and OPTIONS may repeat and all else runs
 * once.
 */
RequestClass classify(
    const v1::Service& service, std::string_view method, std::string_view path, Milliseconds defaultDeadline);

}
