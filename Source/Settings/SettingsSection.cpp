#include "Settings/SettingsSection.h"

#include "Base/DurationText.h"

namespace burlreach {

namespace {

constexpr std::string_view AddressExample = "write an IP number and a port, such as \"127.0.0.1:8080\"";

std::string rangeText(NumberRange range)
{
    return "write a whole number from " + std::to_string(range.lowest) + " to " + std::to_string(range.highest);
}

const nlohmann::json EmptyObject = nlohmann::json::object();

}

SettingsSection::SettingsSection(const nlohmann::json& givenObject, std::string givenPlace, Findings& givenFindings)
    : object(&givenObject)
    , place(std::move(givenPlace))
    , findings(&givenFindings)
{
    if (givenObject.is_object())
        return;
    this->findings->add(this->place.empty() ? "/" : this->place, "is not an object; write {\"key\": value, ...}");
    this->object = &EmptyObject;
}

std::string SettingsSection::placeOf(std::string_view key) const
{
    return this->place + "/" + std::string(key);
}

const nlohmann::json* SettingsSection::find(std::string_view key)
{
    this->known.emplace(key);
    const auto found = this->object->find(key);
    return found == this->object->end() ? nullptr : &*found;
}

const nlohmann::json* SettingsSection::findRequired(std::string_view key, std::string_view wanted)
{
    const nlohmann::json* value = this->find(key);
    if (!value)
        this->findings->add(this->placeOf(key), "is missing; " + std::string(wanted));
    return value;
}

SettingsSection SettingsSection::section(std::string_view key)
{
    const nlohmann::json* value = this->find(key);
    return { value ? *value : EmptyObject, this->placeOf(key), *this->findings };
}

void SettingsSection::requiredText(std::string_view key, std::string& value)
{
    constexpr std::string_view wanted = "write a non-empty string";
    const nlohmann::json* found = this->findRequired(key, wanted);
    if (!found)
        return;
    if (!found->is_string() || found->get<std::string>().empty()) {
        this->findings->add(this->placeOf(key), "is not a string or is empty; " + std::string(wanted));
        return;
    }
    value = found->get<std::string>();
}

void SettingsSection::optionalText(std::string_view key, std::string& value)
{
    if (this->find(key))
        this->requiredText(key, value);
}

void SettingsSection::requiredAddress(std::string_view key, NetworkAddress& value)
{
    const nlohmann::json* found = this->findRequired(key, AddressExample);
    if (!found)
        return;
    const auto parsed = found->is_string() ? parseNetworkAddress(found->get<std::string>()) : std::nullopt;
    if (!parsed) {
        this->findings->add(this->placeOf(key), "is not an address; " + std::string(AddressExample));
        return;
    }
    value = *parsed;
}

void SettingsSection::optionalAddress(std::string_view key, NetworkAddress& value)
{
    if (this->find(key))
        this->requiredAddress(key, value);
}

void SettingsSection::optionalAddresses(std::string_view key, std::vector<NetworkAddress>& value)
{
    const nlohmann::json* found = this->find(key);
    if (!found)
        return;
    if (!found->is_array()) {
        this->findings->add(this->placeOf(key), "is not a list; write addresses such as [\"127.0.0.1:8080\"]");
        return;
    }
    for (std::size_t index = 0; index < found->size(); ++index) {
        const nlohmann::json& item = (*found)[index];
        const auto parsed = item.is_string() ? parseNetworkAddress(item.get<std::string>()) : std::nullopt;
        if (parsed)
            value.push_back(*parsed);
        else
            this->findings->add(
                this->placeOf(key) + "/" + std::to_string(index), "is not an address; " + std::string(AddressExample));
    }
}

void SettingsSection::optionalShare(std::string_view key, double highest, double& value)
{
    const nlohmann::json* found = this->find(key);
    if (!found)
        return;
    const bool isGood = found->is_number() && found->get<double>() >= 0 && found->get<double>() <= highest;
    if (isGood)
        value = found->get<double>();
    else
        this->findings->add(
            this->placeOf(key), "is not a share in the allowed range; write a number from 0 to 1, such as 0.1");
}

void SettingsSection::optionalSize(std::string_view key, NumberRange range, std::size_t& value)
{
    const nlohmann::json* found = this->find(key);
    if (!found)
        return;
    if (!found->is_number_unsigned()) {
        this->findings->add(this->placeOf(key), "is not a whole number; " + rangeText(range));
        return;
    }
    const auto number = found->get<std::uint64_t>();
    if (number < range.lowest || number > range.highest) {
        this->findings->add(this->placeOf(key), "is " + std::to_string(number) + "; " + rangeText(range));
        return;
    }
    value = number;
}

void SettingsSection::optionalMilliseconds(std::string_view key, NumberRange range, Milliseconds& value)
{
    const nlohmann::json* found = this->find(key);
    if (!found)
        return;
    const auto read = found->is_string() ? parseDuration(found->get<std::string>()) : std::nullopt;
    if (found->is_string() && !read) {
        this->findings->add(this->placeOf(key), "is not a duration; write one such as \"1500ms\" or \"2.5s\"");
        return;
    }
    if (!read) {
        auto number = static_cast<std::size_t>(value.count);
        this->optionalSize(key, range, number);
        value = { static_cast<double>(number) };
        return;
    }
    const bool isInRange
        = read->count >= static_cast<double>(range.lowest) && read->count <= static_cast<double>(range.highest);
    if (isInRange)
        value = *read;
    else
        this->findings->add(this->placeOf(key), "is out of range; in milliseconds, " + rangeText(range));
}

std::size_t SettingsSection::optionalChoice(
    std::string_view key, std::span<const std::string_view> choices, std::size_t fallback)
{
    const nlohmann::json* found = this->find(key);
    if (!found)
        return fallback;
    std::string wanted = "write one of";
    for (std::size_t index = 0; index < choices.size(); ++index) {
        if (found->is_string() && found->get<std::string>() == choices[index])
            return index;
        wanted += " \"" + std::string(choices[index]) + "\"";
    }
    this->findings->add(this->placeOf(key), "is none of the choices; " + wanted);
    return fallback;
}

void SettingsSection::finish()
{
    for (const auto& item : this->object->items()) {
        if (this->known.contains(item.key()))
            continue;
        std::string wanted = "is not known; remove it or write one of";
        for (const std::string& key : this->known)
            wanted += " \"" + key + "\"";
        this->findings->add(this->placeOf(item.key()), wanted);
    }
}

}
