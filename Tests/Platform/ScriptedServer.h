#pragma once

#include "Base/NetworkAddress.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace burlreach {

/** A request as a ScriptedServer read it. */
struct ScriptedRequest {
    std::string head; // request line and header fields
    bool isProbe = false;
    std::size_t connection = 0; // number of the connection, from 1

    /** Returns the value of a header field; empty if it is missing. */
    std::string_view field(std::string_view name) const;
};

/** A backend server on the loopback interface whose answers are made by a script of the test. */
class ScriptedServer {
public:
    /** Returns the bytes of the answer. If they end with "(close)", this is not sent and no further request is read. */
    using Script = std::function<std::string(const ScriptedRequest&)>;

    ScriptedServer(asio::io_context& context, Script script);

    void answerWith(Script next) { this->script = std::move(next); }
    NetworkAddress address() const;
    /** The number of requests received, without probes. */
    std::size_t requests() const { return this->requestCount; }
    std::size_t probes() const { return this->probeCount; }

private:
    struct Session;

    void accept();
    void read(const std::shared_ptr<Session>& session);
    void answer(const std::shared_ptr<Session>& session);

    asio::ip::tcp::acceptor acceptor;
    Script script;
    std::size_t connectionCount = 0;
    std::size_t requestCount = 0;
    std::size_t probeCount = 0;
};

/** Makes a signed answer to the request, with its id and these further header lines. */
std::string scriptedAnswer(const ScriptedRequest& request, unsigned status, std::string_view fields);

}
