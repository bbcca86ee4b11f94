#pragma once

#include <string_view>

namespace burlreach {

/** Tells what the configuration in force says of repeating a request. */
class RepeatLookup {
public:
    virtual ~RepeatLookup() = default;
    /** False also while there is no route; the path may carry a query. Safe from any thread. */
    virtual bool mayRepeat(std::string_view host, std::string_view method, std::string_view path) const = 0;
};

}
