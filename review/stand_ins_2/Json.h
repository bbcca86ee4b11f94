#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace review {

/** A JSON value, as far as the calls to the platform's store need it: texts without escaped letters. */
struct Json {
    std::string text; // of a string
    std::uint64_t number = 0;
    std::vector<Json> list;
    std::map<std::string, Json> fields;

    const Json& at(const std::string& name) const;
};

/** Reads a value; what cannot be read is empty. */
Json parseJson(std::string_view text);

std::string encodeBase64(std::string_view bytes);

}
