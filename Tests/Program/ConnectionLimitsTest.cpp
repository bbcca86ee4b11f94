// Guards the division of a process's descriptors: callers took so many that none was left for servers and the store.

#include "Program/ConnectionLimits.h"

#include <array>
#include <string>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

TEST_GROUP(ConnectionLimits){};

TEST(ConnectionLimits, LeaveDescriptorsForFilesAndServers)
{
    constexpr std::array<std::size_t, 7> rows{ 64, 100, 300, 1024, 4100, 8192, 100000 };
    for (const std::size_t descriptors : rows) {
        const ConnectionLimits limits = connectionLimits(descriptors);
        const std::string text = std::to_string(descriptors);
        const std::size_t forFiles = descriptors < 400 ? descriptors / 2 : 200;
        const std::size_t taken = limits.callers + limits.peers + 2 * limits.relays + limits.readiness;
        // A fifth of the connections remains for servers and the store.
        CHECK_TEXT(taken <= (descriptors - forFiles) * 4 / 5, text.c_str());
        CHECK_TEXT(limits.callers && limits.peers && limits.relays && limits.readiness, text.c_str());
        CHECK_TEXT(limits.callers >= (descriptors - forFiles) / 2, text.c_str());
    }
}

TEST(ConnectionLimits, WithoutASettingTheLimitOfTheProcessCounts)
{
    CHECK(connectionLimits(0).callers > 0);
}
