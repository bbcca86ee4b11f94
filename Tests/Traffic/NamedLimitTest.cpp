#include "Traffic/NamedLimit.h"

#include <optional>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

struct Case {
    const char* name;
    std::vector<std::string> values; // of the field, which may occur several times
    std::optional<double> limit;
};

const std::vector<Case> Cases{
    { "none", {}, {} },
    { "a whole number", { "3" }, 3 },
    { "a decimal number", { "2.7" }, 2.7 },
    { "blanks around it", { "  2.7 " }, 2.7 },
    { "zero", { "0" }, 0 },
    { "zero with a point", { "0.0" }, 0 },
    { "a negative number", { "-1" }, {} },
    { "an exponent", { "1e3" }, {} },
    { "text", { "few" }, {} },
    { "not a number", { "nan" }, {} },
    { "infinity", { "inf" }, {} },
    { "an empty value", { "" }, {} },
    { "a number and other text", { "3 a second" }, {} },
    { "twice", { "5", "2.5" }, 2.5 },
    { "twice, once unreadable", { "x", "4" }, 4 },
};

}

TEST_GROUP(NamedLimit){};

TEST(NamedLimit, IsReadFromUnsignedDecimals)
{
    for (const Case& item : Cases) {
        HttpFields fields;
        for (const std::string& value : item.values)
            fields.insert("Some-Limit", value);
        CHECK_TEXT(namedLimitOf(fields, "some-limit") == item.limit, item.name);
    }
    HttpFields fields;
    fields.insert("Some-Limit", std::string(400, '9'));
    CHECK_TEXT(namedLimitOf(fields, "Some-Limit").value_or(0) > 1e9, "too large for a double");
}
