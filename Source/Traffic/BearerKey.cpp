#include "Traffic/BearerKey.h"

#include <algorithm>
#include <cctype>

namespace burlreach {

namespace {

constexpr std::string_view Scheme = "Bearer";
/** In bytes. Longer keys are rejected: every key is hashed before anything is known about its sender. */
constexpr std::size_t MaxKeyLength = 4096;
constexpr std::string_view KeyPunctuation = "-._~+/=";

bool isKeyCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character))
        || KeyPunctuation.find(character) != std::string_view::npos;
}

/** Returns the key of a value of the form "Bearer KEY"; empty if the value has any other form. */
std::string_view parseBearerKey(std::string_view value)
{
    if (value.size() <= Scheme.size() || !boost::beast::iequals(value.substr(0, Scheme.size()), Scheme))
        return {};
    const std::string_view rest = value.substr(Scheme.size());
    const std::size_t begin = rest.find_first_not_of(' ');
    if (begin == std::string_view::npos || !begin)
        return {};
    const std::string_view key = rest.substr(begin);
    const bool isKey = key.size() <= MaxKeyLength && std::all_of(key.begin(), key.end(), isKeyCharacter);
    return isKey ? key : std::string_view();
}

}

Credential readBearerKey(const HttpFields& fields)
{
    const std::size_t count = fields.count({ KeyField.data(), KeyField.size() });
    if (!count)
        return {};
    const std::string_view key = count == 1 ? parseBearerKey(valueOf(fields, KeyField)) : std::string_view();
    if (key.empty())
        return { .kind = Credential::Kind::Unreadable, .key = {} };
    return { .kind = Credential::Kind::Key, .key = digestOfKey(key) };
}

void writeCustomer(HttpFields& fields, std::string_view nameField, const ForwardedCustomer& forwarded)
{
    if (!forwarded.withholdsKey)
        return;
    fields.erase({ KeyField.data(), KeyField.size() });
    fields.erase({ nameField.data(), nameField.size() });
    if (!forwarded.customer.empty())
        setField(fields, nameField, forwarded.customer);
}

}
