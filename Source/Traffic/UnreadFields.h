#pragma once

#include "Traffic/TrafficDialect.h"

#include <set>
#include <string>
#include <vector>

namespace burlreach {

/** An answer field that neither HTTP nor the dialect defines. */
struct UnreadField {
    std::string name;
    std::string value; // possibly truncated
};

/**
 * Finds fields in backend servers' answers that neither HTTP nor the dialect
 * defines. Whatever a server states in them is ignored, so operators should
 * learn of them. Each name is returned once, and at most 32 names in all.
 */
class UnreadFields {
public:
    /** Returns the unknown fields of this header whose names were not seen before. */
    std::vector<UnreadField> findNew(const HttpResponse& header, const TrafficDialect& dialect);

private:
    std::set<std::string, std::less<>> seenNames; // names, case-sensitive
};

}
