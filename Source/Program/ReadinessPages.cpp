#include "Program/ReadinessPages.h"

#include <utility>

namespace burlreach {

namespace {

namespace http = boost::beast::http;

constexpr unsigned HttpVersion = 11;

}

ReadinessPages::ReadinessPages(
    asio::io_context& context, std::string givenPath, const InstanceReader& givenReader, const Clock& clock)
    : path(std::move(givenPath))
    , reader(&givenReader)
    , listener(context, *this, clock)
{
}

std::error_code ReadinessPages::listen(const NetworkAddress& address)
{
    const std::error_code error = this->listener.listen(address);
    if (!error)
        this->listener.beginAccepting();
    return error;
}

void ReadinessPages::requestReceived(const std::shared_ptr<HttpSession>& session, ReceivedRequest request)
{
    const bool isKnown = std::string_view(request.message.target()) == this->path;
    http::status status = this->reader->isReady() ? http::status::ok : http::status::service_unavailable;
    if (!isKnown)
        status = http::status::not_found;
    session->answer(request.number, HttpResponse(status, HttpVersion));
}

void ReadinessPages::requestUnreadable(
    const std::shared_ptr<HttpSession>& session, HttpRequestNumber request, HttpRequestProblem)
{
    session->answer(request, HttpResponse(http::status::bad_request, HttpVersion));
}

}
