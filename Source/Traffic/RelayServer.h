#pragma once

#include "Base/NetworkAddress.h"
#include "Metrics/TrafficMetrics.h"
#include "Node/Actions.h"
#include "Node/EventSink.h"
#include "Traffic/RelaySession.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <system_error>
#include <unordered_map>

namespace burlreach {

/** Relays connections of other instances to backend servers, as far as Node allows. */
class RelayServer {
public:
    struct Options {
        Milliseconds connectTimeout{ 250 };
        std::size_t mostSessions = 256; // two descriptors and 16 KB each
    };

    struct Dependencies {
        EventSink* sink = nullptr;
        TrafficMetrics* metrics = nullptr;
    };

    RelayServer(asio::io_context& context, Options options, Dependencies parts);

    std::error_code listen(const NetworkAddress& address);
    void execute(const AnswerRelay& action);

private:
    void accept();
    void accepted(asio::ip::tcp::socket socket);
    void connected(
        const AnswerRelay& action, const asio::error_code& error, const std::shared_ptr<HttpConnection>& opened);

    asio::io_context* context;
    Options options;
    Dependencies dependencies;
    asio::ip::tcp::acceptor acceptor;
    std::unordered_map<RelayNumber, std::shared_ptr<RelaySession>> sessions;
    RelayNumber lastNumber = 0;
};

}
