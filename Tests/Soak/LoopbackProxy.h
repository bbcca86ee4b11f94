#pragma once

#include "Base/Milliseconds.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <vector>

namespace burlreach {

/** The fault that a proxy applies to its connections. */
enum class ProxyFault {
    None,
    Delay, // each chunk is forwarded after Options::delay
    SilentForward, // bytes from the client are discarded
    SilentBack, // bytes from the server are discarded
    Silent, // bytes in both directions are discarded
    Refuse, // open connections are reset, new ones closed at once
    Interim, // an interim answer is sent before the server's bytes
    Repeat, // a second copy of an answer with a request id is sent when the client's next bytes come
    Endless, // bytes without end are sent in place of the server's
    Unframed, // the answer's length is taken out; it ends with the connection, after a pause in the middle
    EndsShort // the connection ends in order before the last bytes of the answer, after the same pause
};

/**
 * Forwards TCP connections from one loopback port to another, with faults. Runs on the thread of its io_context;
 * setFault() and reset() may be called from any thread.
 */
class LoopbackProxy {
public:
    struct Options {
        std::uint16_t port = 0;
        std::vector<std::uint16_t> targets; // tried in this order until one accepts the connection
        Milliseconds delay{ 60 };
    };

    LoopbackProxy(asio::io_context& context, Options options);

    void setFault(ProxyFault next);
    /** Resets all open connections. */
    void reset();

private:
    class Relay;

    void accept();
    void resetNow();

    asio::io_context* context;
    Options options;
    asio::ip::tcp::acceptor acceptor;
    std::atomic<ProxyFault> fault{ ProxyFault::None };
    std::list<std::weak_ptr<Relay>> relays;
    std::size_t endlessAnswers = 0;
};

}
