#include "Traffic/BackendConnection.h"

#include "Base/ChronoDuration.h"
#include "Traffic/Headers.h"
#include "Traffic/NumberText.h"

#include <algorithm>
#include <poll.h>
#include <strings.h>

namespace burlreach {

namespace {

constexpr Milliseconds ConnectTimeout{ 1000 };
constexpr int FirstErrorStatus = 500;
constexpr int StatusNoContent = 204;
constexpr int StatusNotModified = 304;
constexpr int LastInformationalStatus = 199;

bool isNamed(const std::string& name, const char* wanted)
{
    return !strcasecmp(name.c_str(), wanted);
}

/** Headers that this instance writes itself. */
bool isOurs(const std::string& name)
{
    return isNamed(name, "Content-Length") || isNamed(name, RequestIdHeader) || isNamed(name, DeadlineHeader)
        || isNamed(name, RetryHeader) || isNamed(name, AttemptHeader);
}

/** Only with a length or chunks can the end of a body be told from a cut. */
bool endIsCertain(const httplib::Response& response, const std::string& method)
{
    const bool hasNoBody = method == "HEAD" || response.status == StatusNoContent
        || response.status == StatusNotModified || response.status <= LastInformationalStatus;
    return hasNoBody || response.has_header("Content-Length") || response.has_header("Transfer-Encoding");
}

}

BackendConnection::BackendConnection(const NetworkAddress& address)
    : client(address.host, address.port)
{
    this->client.set_keep_alive(true);
    this->client.set_tcp_nodelay(true);
    this->client.set_url_encode(false);
    this->client.set_decompress(false);
    this->client.set_follow_location(false);
    this->client.set_connection_timeout(toDuration(ConnectTimeout));
}

void BackendConnection::cancel()
{
    this->cancelled = true;
    this->client.stop();
}

bool BackendConnection::isQuiet() const
{
    if (!this->client.is_socket_open())
        return true;
    pollfd item{ .fd = this->client.socket(), .events = POLLIN, .revents = 0 };
    return !poll(&item, 1, 0);
}

httplib::Request BackendConnection::compose(const CallerRequest& request, const SendAttempt& attempt) const
{
    httplib::Request composed;
    composed.method = request.method;
    composed.path = request.target;
    composed.body = request.body;
    for (const HeaderLine& header : request.headers) {
        if (!isOurs(header.name))
            composed.headers.emplace(header.name, header.value);
    }
    if (!composed.has_header("Accept-Encoding"))
        composed.headers.emplace("Accept-Encoding", "identity");
    if (!attempt.requestId.empty())
        composed.headers.emplace(RequestIdHeader, attempt.requestId);
    composed.headers.emplace(DeadlineHeader, std::to_string(static_cast<std::int64_t>(attempt.timeLeft.count)));
    if (attempt.isRetry)
        composed.headers.emplace(RetryHeader, "1");
    return composed;
}

BackendExchange BackendConnection::send(
    const CallerRequest& request, const SendAttempt& attempt, const Clock& clock, Patience patience)
{
    BackendExchange notSent;
    notSent.end.result = AttemptResult::NotSent;
    this->client.set_read_timeout(toDuration(patience.silence));
    this->client.set_write_timeout(toDuration(patience.silence));
    const httplib::Request composed = this->compose(request, attempt);
    // Looked at last, since this process may have stood still.
    if (this->cancelled || clock.now() > patience.sendBy)
        return notSent;
    const httplib::Result result = this->client.send(composed);
    return this->judge(result, attempt, request.method);
}

BackendExchange BackendConnection::judge(
    const httplib::Result& result, const SendAttempt& attempt, const std::string& method) const
{
    BackendExchange exchange;
    const bool neverConnected
        = result.error() == httplib::Error::Connection || result.error() == httplib::Error::BindIPAddress;
    if (!result) {
        exchange.end.result = neverConnected ? AttemptResult::NotSent : AttemptResult::Broken;
        return exchange;
    }
    const httplib::Response& response = *result;
    const std::string echoed = response.get_header_value(RequestIdHeader);
    const bool isOther = !echoed.empty() && echoed != attempt.requestId;
    if (this->cancelled || isOther || !endIsCertain(response, method)) {
        exchange.end.result = AttemptResult::Broken;
        return exchange;
    }
    exchange.end.reportedInFlight = readNumber(response.get_header_value(LoadHeader));
    exchange.end.leaving = response.get_header_value(LeavingHeader) == "1";
    exchange.end.result = response.status >= FirstErrorStatus ? AttemptResult::ErrorAnswer : AttemptResult::Answered;
    if (response.get_header_value(NotRunHeader) == "1")
        exchange.end.result = AttemptResult::RefusedNotRun;
    exchange.isClean = !isNamed(response.get_header_value("Connection"), "close");
    exchange.answer.status = response.status;
    exchange.answer.body = response.body;
    for (const auto& [name, value] : response.headers) {
        if (!isHopByHop(name))
            exchange.answer.headers.push_back({ .name = name, .value = value });
    }
    return exchange;
}

}
