#pragma once

#include "Base/NetworkAddress.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace burlreach {

/** What a PacedServer sends for a request: pieces with pauses between them, and how the connection goes on then. */
struct PacedAnswer {
    enum class End {
        Keep,
        Close,
        Reset,
        Hang
    };

    std::vector<std::string> pieces;
    End end = End::Keep;
};

/** A backend server on the loopback interface that sends its answers in pieces. */
class PacedServer {
public:
    static constexpr std::chrono::milliseconds Pause{ 150 };

    /** Called with the head of each request that is no probe. */
    using Script = std::function<PacedAnswer(std::string_view head)>;

    PacedServer(asio::io_context& context, Script script);

    NetworkAddress address() const;
    /** The number of requests received, without probes. */
    std::size_t requests() const { return this->requestCount; }
    /** The number of connections of which the other side ended in the middle of an answer. */
    std::size_t cutOff() const { return this->cutOffCount; }

private:
    struct Session;

    void accept();
    void read(const std::shared_ptr<Session>& session);
    void answer(const std::shared_ptr<Session>& session, std::string_view head);
    void sendNext(const std::shared_ptr<Session>& session);
    void pause(const std::shared_ptr<Session>& session);
    void end(const std::shared_ptr<Session>& session);
    /** Notices that the other side ends the connection. */
    void watch(const std::shared_ptr<Session>& session);

    asio::ip::tcp::acceptor acceptor;
    Script script;
    std::size_t requestCount = 0;
    std::size_t cutOffCount = 0;
};

}
