#include "Traffic/RetryAfter.h"

#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr double Nothing = -1;
constexpr double VeryLong = 1e12; // milliseconds; stands for at least that much

struct Case {
    std::string value; // of Retry-After
    const char* date; // value of Date; empty: no such field
    double expected; // milliseconds
};

const std::vector<Case> Cases{
    { "2", "", 2000 },
    { "0.25", "", 250 },
    { " 1.5 ", "", 1500 },
    { "0", "", 0 },
    { "0.0", "", 0 },
    { "00012", "", 12000 },
    { "86400", "", 86400000 },
    { std::string(30, '9'), "", VeryLong },
    { std::string(5000, '9'), "", VeryLong },
    { "0." + std::string(400, '0') + "1", "", 0 },
    { "Thu, 03 Dec 2026 10:00:30 GMT", "Thu, 03 Dec 2026 10:00:00 GMT", 30000 },
    { "Thursday, 03-Dec-26 10:00:30 GMT", "Thu, 03 Dec 2026 10:00:00 GMT", 30000 },
    { "Thu Dec  3 10:00:30 2026", "Thu, 03 Dec 2026 10:00:00 GMT", 30000 },
    { "Thu, 03 Dec 2026 09:59:00 GMT", "Thu, 03 Dec 2026 10:00:00 GMT", 0 },
    { "Sun, 06 Nov 1994 08:49:37 GMT", "", 0 },
    { "Fri, 01 Jan 2999 00:00:00 GMT", "", VeryLong },
    { "", "", Nothing },
    { " ", "", Nothing },
    { "soon", "", Nothing },
    { "-1", "", Nothing },
    { "+1", "", Nothing },
    { "1e3", "", Nothing },
    { "0x10", "", Nothing },
    { "1.", "", Nothing },
    { ".5", "", Nothing },
    { "1,5", "", Nothing },
    { "1.5.2", "", Nothing },
    { "5 s", "", Nothing },
    { "inf", "", Nothing },
    { "nan", "", Nothing },
    { "Thu, 03", "", Nothing },
};

}

TEST_GROUP(RetryAfter){};

TEST(RetryAfter, IsSecondsOrADate)
{
    for (const Case& item : Cases) {
        HttpFields fields;
        setField(fields, "Retry-After", item.value);
        if (*item.date)
            setField(fields, "Date", item.date);
        const auto asked = retryAfterOf(fields);
        CHECK_EQUAL_TEXT(item.expected != Nothing, asked.has_value(), item.value.c_str());
        if (!asked)
            continue;
        const bool isAsAsked = item.expected == VeryLong ? asked->count >= VeryLong : asked->count == item.expected;
        CHECK_TEXT(isAsAsked, item.value.c_str());
        CHECK_TEXT(*asked < Never, item.value.c_str());
    }
    CHECK_FALSE(retryAfterOf(HttpFields()).has_value());
}
