// Guards the choice of what gives way when callers and servers make an instance hold too much: requests that wait or
// are at work never do, and an ordinary request finds room beside any number of large ones.

#include "Http/MemoryBound.h"

#include <memory>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr std::size_t Kilobyte = 1000;
constexpr std::size_t Bound = 800 * Kilobyte; // of which holders of 64 KiB or more can use 700

struct Holding {
    DropOrder order;
    std::size_t kilobytes;
};

struct Case {
    const char* name;
    std::size_t fixedKilobytes;
    std::vector<Holding> holdings; // in the order in which they come
    const char* dropped; // numbers of the holdings, in the order in which they are dropped
};

constexpr DropOrder Last = DropOrder::Last;
constexpr DropOrder Late = DropOrder::Late;
constexpr DropOrder Usual = DropOrder::Usual;
constexpr DropOrder Early = DropOrder::Early;

const std::vector<Case> Cases{
    { "all fit", 0, { { Usual, 300 }, { Usual, 400 } }, "" },
    { "the largest gives way", 0, { { Usual, 300 }, { Usual, 310 }, { Usual, 200 } }, "1" },
    { "one that makes no progress gives way first", 0, { { Usual, 400 }, { Early, 200 }, { Usual, 200 } }, "1" },
    { "one that will end gives way last", 0, { { Late, 600 }, { Usual, 90 }, { Usual, 80 } }, "1" },
    { "an answer that is being taken gives way after one that arrives", 0, { { Last, 600 }, { Late, 110 } }, "1" },
    { "alone too large", 0, { { Late, 900 } }, "0" },
    { "small ones use the share kept for them", 0, { { Usual, 650 }, { Usual, 50 }, { Usual, 60 }, { Usual, 40 } },
        "0" },
    { "small ones find room beside whole requests", 700, { { Usual, 60 }, { Usual, 40 } }, "" },
    { "large ones find none there", 700, { { Usual, 70 } }, "0" },
    { "even small ones are too many", 700, { { Usual, 60 }, { Usual, 50 } }, "0" },
    { "whole requests never give way", 1000, {}, "" },
};

class Holder final : public MemoryHolder {
public:
    Holder(DropOrder given, char number, std::string& list)
        : order(given)
        , name(number)
        , dropped(&list)
    {
    }

    DropOrder dropOrder() const override { return this->order; }
    void dropBytes() override { *this->dropped += this->name; }

private:
    DropOrder order;
    char name;
    std::string* dropped;
};

}

TEST_GROUP(MemoryBound){};

TEST(MemoryBound, ChoosesWhatGivesWay)
{
    for (const Case& item : Cases) {
        MemoryBound memory(Bound);
        std::string dropped;
        std::vector<std::unique_ptr<Holder>> holders;
        memory.addFixed(item.fixedKilobytes * Kilobyte);
        for (const Holding& holding : item.holdings) {
            const auto number = static_cast<char>('0' + holders.size());
            holders.push_back(std::make_unique<Holder>(holding.order, number, dropped));
            memory.set(*holders.back(), holding.kilobytes * Kilobyte);
        }
        STRCMP_EQUAL_TEXT(item.dropped, dropped.c_str(), item.name);
        LONGS_EQUAL_TEXT(dropped.size(), memory.dropped(), item.name);
        memory.removeFixed(item.fixedKilobytes * Kilobyte);
    }
}

TEST(MemoryBound, ForgetsWhatIsRemoved)
{
    MemoryBound memory(Bound);
    std::string dropped;
    Holder first(Usual, '0', dropped);
    Holder second(Usual, '1', dropped);
    memory.set(first, 600 * Kilobyte);
    memory.remove(first);
    memory.remove(first);
    memory.set(second, 600 * Kilobyte);
    memory.set(second, 100 * Kilobyte);
    LONGS_EQUAL(100 * Kilobyte, memory.total());
    STRCMP_EQUAL("", dropped.c_str());
}
