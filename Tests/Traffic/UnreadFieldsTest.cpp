#include "Traffic/UnreadFields.h"
#include "Traffic/NativeTrafficDialect.h"

#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

struct Case {
    const char* name;
    std::vector<const char*> fields; // of the first answer that is seen
    std::vector<const char*> reported; // names that are reported
};

const std::vector<Case> Cases{
    { "fields of HTTP", { "Content-Type", "Retry-After", "Keep-Alive" }, {} },
    { "fields of the dialect", { "Burlreach-Load", "burlreach-not-run", "Burlreach-Request-Id" }, {} },
    { "an unknown field", { "Burlreach-Load", "Server-Mood" }, { "Server-Mood" } },
    { "the same twice", { "Server-Mood", "Server-Mood" }, { "Server-Mood" } },
};

HttpResponse answerWith(const std::vector<const char*>& fields)
{
    HttpResponse answer;
    for (const char* field : fields)
        answer.insert(field, "1");
    return answer;
}

}

TEST_GROUP(UnreadFields)
{
    NativeTrafficDialect dialect;
    UnreadFields unread;
};

TEST(UnreadFields, AreReportedOnce)
{
    for (const Case& item : Cases) {
        this->unread = {};
        const HttpResponse answer = answerWith(item.fields);
        const auto reported = this->unread.findNew(answer, this->dialect);
        LONGS_EQUAL_TEXT(item.reported.size(), reported.size(), item.name);
        for (std::size_t index = 0; index < reported.size(); ++index)
            STRCMP_EQUAL_TEXT(item.reported[index], reported[index].name.c_str(), item.name);
        LONGS_EQUAL_TEXT(0, this->unread.findNew(answer, this->dialect).size(), item.name);
    }
}

TEST(UnreadFields, AreReportedUpToALimit)
{
    std::size_t reported = 0;
    for (int number = 0; number < 1000; ++number) {
        const std::string name = "Mood-" + std::to_string(number);
        reported += this->unread.findNew(answerWith({ name.c_str() }), this->dialect).size();
    }
    LONGS_EQUAL(32, reported);
}
