#include "Store/ValuePacking.h"
#include "Base/Random.h"

#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

std::string randomText(std::size_t size, std::uint64_t seed)
{
    constexpr std::size_t letters = 64;
    Random random(seed);
    std::string text;
    for (std::size_t index = 0; index < size; ++index)
        text += static_cast<char>(' ' + random.below(letters));
    return text;
}

const std::string Document = randomText(40000, 1);
const std::string Changed = Document.substr(0, 20000) + "a change" + Document.substr(20100);

struct Case {
    const char* name;
    std::string value;
    std::string base;
    std::size_t mostBytes; // when compressed
};

const std::vector<Case> Cases{
    { "empty", "", "", 32 },
    { "short", "a", "", 32 },
    { "repeated content", std::string(50000, 'x'), "", 100 },
    { "without a base", Document, "", 40000 },
    { "a small change of the base", Changed, Document, 200 },
    { "equal to the base", Document, Document, 100 },
    { "nothing in common with the base", randomText(30000, 2), Document, 30000 },
};

}

TEST_GROUP(ValuePacking){};

TEST(ValuePacking, RestoresTheValueAndCompressesWell)
{
    for (const Case& item : Cases) {
        const std::string packed = packValue(item.value, item.base);
        CHECK_TEXT(packed.size() <= item.mostBytes, item.name);
        const auto again = unpackValue(packed, item.base, item.value.size());
        CHECK_TEXT(again && *again == item.value, item.name);
    }
}

TEST(ValuePacking, DetectsAWrongBaseOrLength)
{
    const std::string packed = packValue(Changed, Document);
    CHECK_FALSE(unpackValue(packed, randomText(40000, 3), Changed.size()).has_value());
    CHECK_FALSE(unpackValue(packed, "", Changed.size()).has_value());
    CHECK_FALSE(unpackValue(packed, Document, Changed.size() - 1).has_value());
    CHECK_FALSE(unpackValue(packed, Document, Changed.size() + 1).has_value());
    CHECK_FALSE(unpackValue(packed, Document, MaximumPlainValueBytes + 1).has_value());
}

TEST(ValuePacking, DamagedBytesNeverResultInAnotherValue)
{
    const std::string packed = packValue(Document, "");
    Random random(4);
    constexpr int damages = 200;
    for (int count = 0; count < damages; ++count) {
        std::string damaged = packed;
        char& byte = damaged[random.below(damaged.size())];
        byte = static_cast<char>(byte ^ static_cast<char>(1 + random.below(255)));
        damaged.resize(damaged.size() - random.below(2) * random.below(damaged.size()));
        const auto again = unpackValue(damaged, "", Document.size());
        CHECK(!again || *again == Document);
    }
}
