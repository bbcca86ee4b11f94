#include "Peers/PeerLink.h"
#include "Base/SteadyClock.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

using asio::ip::tcp;

/** A listener whose backlog is full, so that the system drops the SYN segments of further connections. */
class FullListener {
public:
    explicit FullListener(asio::io_context& context)
        : acceptor(context)
    {
        this->acceptor.open(tcp::v4());
        this->acceptor.bind({ asio::ip::address_v4::loopback(), 0 });
        this->acceptor.listen(0);
        for (int count = 0; count < 3; ++count) {
            this->fillers.push_back(std::make_unique<tcp::socket>(context));
            this->fillers.back()->async_connect(this->acceptor.local_endpoint(), [](const asio::error_code&) {});
        }
    }

    std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

    /** Accepts all connections from now on and counts those on which something is received. */
    void open()
    {
        this->acceptor.async_accept([this](const asio::error_code& error, tcp::socket socket) {
            if (error)
                return;
            this->accepted.push_back(std::make_shared<tcp::socket>(std::move(socket)));
            const auto taken = this->accepted.back();
            taken->async_read_some(asio::buffer(this->bytes),
                [this, taken](const asio::error_code& failure, std::size_t) { this->sendersSeen += failure ? 0 : 1; });
            this->open();
        });
    }

    int sendersSeen = 0;

private:
    tcp::acceptor acceptor;
    std::vector<std::unique_ptr<tcp::socket>> fillers;
    std::vector<std::shared_ptr<tcp::socket>> accepted;
    std::array<char, 256> bytes{};
};

}

TEST_GROUP(PeerLink){};

// After a power failure, some instances start a moment before their seeds. A SYN
// to a computer that is still off is lost without an error, and TCP repeats it
// only after 1 s.
TEST(PeerLink, ReachesAnInstanceWithinHalfASecondOfItsStart)
{
    asio::io_context context;
    const SteadyClock clock;
    TrafficMetrics metrics;
    FullListener listener(context);
    context.run_for(std::chrono::milliseconds(20));
    const NetworkAddress address{ .host = "127.0.0.1", .port = listener.port() };
    const auto link = std::make_shared<PeerLink>(context, clock, address, PeerLink::Options{}, metrics);
    link->send("hello");
    context.restart();
    context.run_for(std::chrono::milliseconds(100));
    LONGS_EQUAL(0, listener.sendersSeen);
    listener.open();
    context.restart();
    context.run_for(std::chrono::milliseconds(400));
    LONGS_EQUAL(1, listener.sendersSeen);
    link->close();
    context.restart();
    context.run_for(std::chrono::milliseconds(20));
}
