#pragma once

#include "Base/Findings.h"
#include "Base/Milliseconds.h"
#include "Base/NetworkAddress.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace burlreach {

/** The allowed range of a number, both ends included. */
struct NumberRange {
    std::uint64_t lowest = 0;
    std::uint64_t highest = 0;
};

/**
 * One JSON object of a settings file. Each read adds a finding when the value is
 * missing, of the wrong type or out of range; finish() adds one for each unknown key.
 */
class SettingsSection {
public:
    SettingsSection(const nlohmann::json& object, std::string place, Findings& findings);

    SettingsSection section(std::string_view key);
    void requiredText(std::string_view key, std::string& value);
    void optionalText(std::string_view key, std::string& value);
    void requiredAddress(std::string_view key, NetworkAddress& value);
    void optionalAddress(std::string_view key, NetworkAddress& value);
    void optionalAddresses(std::string_view key, std::vector<NetworkAddress>& value);
    void optionalSize(std::string_view key, NumberRange range, std::size_t& value);
    /** Reads a number from 0 to `highest`. */
    void optionalShare(std::string_view key, double highest, double& value);
    /** Reads a number of milliseconds, or a text such as "1500ms" or "2.5s". */
    void optionalMilliseconds(std::string_view key, NumberRange range, Milliseconds& value);
    /** Returns the index of the value among the choices, or fallback. */
    std::size_t optionalChoice(std::string_view key, std::span<const std::string_view> choices, std::size_t fallback);
    void finish();

private:
    const nlohmann::json* find(std::string_view key);
    const nlohmann::json* findRequired(std::string_view key, std::string_view wanted);
    std::string placeOf(std::string_view key) const;

    const nlohmann::json* object;
    std::string place;
    Findings* findings;
    std::set<std::string, std::less<>> known;
};

}
