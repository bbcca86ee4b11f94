#pragma once

#include <string>
#include <vector>

namespace burlreach {

/** Store items that another program wrote; instances must ignore or refuse them and follow what comes after. */
struct OddEntry {
    std::string name;
    std::vector<std::pair<std::string, std::string>> items; // keys and values, written at once
};

/**
 * Odd entries beside the sound record of a server and the sound configuration, both as JSON texts; the configuration
 * begins with its version and ends with an object.
 */
std::vector<OddEntry> oddEntries(const std::string& soundServer, const std::string& soundConfiguration);

}
