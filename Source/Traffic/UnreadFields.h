#pragma once

#include "Traffic/TrafficDialect.h"

#include <set>
#include <string>
#include <vector>

namespace burlreach {

/** A field of an answer that nothing here reads. */
struct UnreadField {
    std::string name;
    std::string value; // its beginning
};

/**
 * Finds fields of backend servers' answers that the dialect does not know. What
 * a server says there of itself is lost, so each name is told once. Fields that
 * HTTP itself defines are passed over.
 */
class UnreadFields {
public:
    /** Those of this header that were not seen before. */
    std::vector<UnreadField> newOnes(const HttpResponse& header, const TrafficDialect& dialect);

private:
    std::set<std::string, std::less<>> seen; // names as they were spelt
};

}
