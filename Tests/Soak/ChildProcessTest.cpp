#include "Tests/Soak/ChildProcess.h"

#include <array>
#include <poll.h>
#include <unistd.h>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

/** In milliseconds: far shorter than the child runs, far longer than a close takes. */
constexpr int Patience = 1000;

}

TEST_GROUP(ChildProcess){};

TEST(ChildProcess, HoldsNoSocketOfItsParentOpen)
{
    // If the child inherited it, a connection that the parent closes would stay open and silent for its peer.
    std::array<int, 2> ends{};
    CHECK_EQUAL(0, pipe(ends.data()));
    ChildProcess child({ .command = { "/bin/sleep", "30" }, .logPath = "/dev/null" });
    child.start();
    close(ends[1]);
    pollfd waiting{ .fd = ends[0], .events = POLLIN, .revents = 0 };
    CHECK_EQUAL(1, poll(&waiting, 1, Patience));
    CHECK_TRUE((waiting.revents & POLLHUP) != 0);
    close(ends[0]);
    child.kill();
}
