#pragma once

#include "Base/Findings.h"
#include "Settings/Settings.h"

#include <string_view>

namespace burlreach {

/** Settings together with everything that is wrong in them. */
struct SettingsResult {
    Settings settings;
    Findings findings; // settings are usable only when this is empty
};

/** Reads settings from JSON text and reports all findings at once. */
class SettingsReader {
public:
    SettingsResult read(std::string_view text) const;
    SettingsResult readFile(const std::string& path) const;
};

}
