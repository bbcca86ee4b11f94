#include "Program/EarlySignals.h"

#include <csignal>

// Redefines operator new, so it must follow all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

volatile std::sig_atomic_t seen = 0;

void note(int)
{
    seen = seen + 1;
}

}

TEST_GROUP(EarlySignals){};

// A signal that arrived before the handlers were installed terminated the process.
TEST(EarlySignals, WaitUntilTheyCanBeTaken)
{
    seen = 0;
    holdSignals();
    // If they were not blocked, the default action of each would terminate the test process here.
    raise(SIGHUP);
    raise(SIGTERM);
    LONGS_EQUAL(0, seen);
    const auto oldReload = std::signal(SIGHUP, &note);
    const auto oldStop = std::signal(SIGTERM, &note);
    releaseSignals();
    LONGS_EQUAL(2, seen);
    std::signal(SIGHUP, oldReload);
    std::signal(SIGTERM, oldStop);
}
