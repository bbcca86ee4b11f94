#pragma once

#include "Http/HttpListener.h"
#include "Operators/InstanceReader.h"

#include <asio/io_context.hpp>
#include <string>
#include <system_error>

namespace burlreach {

/** Serves the readiness check: whether new callers may be directed to this instance. */
class ReadinessPages final : private HttpSessionHandler {
public:
    ReadinessPages(asio::io_context& context, std::string path, const InstanceReader& reader, const Clock& clock);

    std::error_code listen(const NetworkAddress& address);
    void setMaxSessions(std::size_t most) { this->listener.setMaxSessions(most); }
    void tend() { this->listener.closeExpiredSessions(); }
    void stop() { this->listener.stopAccepting(); }

private:
    void requestReceived(const std::shared_ptr<HttpSession>& session, ReceivedRequest request) override;
    void requestUnreadable(
        const std::shared_ptr<HttpSession>& session, HttpRequestNumber request, HttpRequestProblem problem) override;
    void callerGone(const std::shared_ptr<HttpSession>&) override { }

    std::string path;
    const InstanceReader* reader;
    HttpListener listener;
};

}
