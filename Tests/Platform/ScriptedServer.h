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
    std::string head; // request line and fields
    bool isProbe = false;

    std::string_view field(std::string_view name) const;
};

/** A backend server on loopback whose answers are the bytes that a test gives. */
class ScriptedServer {
public:
    /** The bytes of the answer; those after a trailing "(close)" end the connection. */
    using Script = std::function<std::string(const ScriptedRequest&)>;

    ScriptedServer(asio::io_context& context, Script script);

    void answerWith(Script next) { this->script = std::move(next); }
    NetworkAddress address() const;
    /** Requests other than probes, and probes. */
    std::size_t requests() const { return this->requestCount; }
    std::size_t probes() const { return this->probeCount; }

private:
    struct Session;

    void accept();
    void read(const std::shared_ptr<Session>& session);
    void answer(const std::shared_ptr<Session>& session);

    asio::ip::tcp::acceptor acceptor;
    Script script;
    std::size_t requestCount = 0;
    std::size_t probeCount = 0;
};

/** An answer to the request with these lines of fields; the id and a signature come with it. */
std::string scriptedAnswer(const ScriptedRequest& request, unsigned status, std::string_view fields);

}
