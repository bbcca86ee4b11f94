#pragma once

#include <string_view>

namespace burlreach {

/** Looks up in the active configuration whether a request may run more than once. */
class RepeatLookup {
public:
    virtual ~RepeatLookup() = default;
    /** Also false when no route matches. The path may include a query. Thread-safe. */
    virtual bool mayRepeat(std::string_view host, std::string_view method, std::string_view path) const = 0;
};

}
