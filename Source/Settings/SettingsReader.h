#pragma once

#include "Base/Findings.h"
#include "Settings/Settings.h"

#include <string_view>

namespace burlreach {

/** Settings and all errors found in them. */
struct SettingsResult {
    Settings settings;
    Findings findings; // the settings are valid only when this is empty
};

/** Reads settings from JSON text and reports all errors at once, not only the first. */
class SettingsReader {
public:
    SettingsResult read(std::string_view text) const;
    SettingsResult readFile(const std::string& path) const;
};

}
