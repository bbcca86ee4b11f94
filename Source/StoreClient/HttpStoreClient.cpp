#include "StoreClient/HttpStoreClient.h"

#include <utility>

namespace burlreach {

namespace {

constexpr Milliseconds ConnectTimeout{ 600 };
constexpr const char* PoolKey = "store";

StoreStatus statusOf(HttpExchangeResult result)
{
    return result == HttpExchangeResult::NotSent ? StoreStatus::Refused : StoreStatus::Unknown;
}

}

HttpStoreClient::HttpStoreClient(asio::io_context& givenContext, const NetworkAddress& givenAddress,
    const StoreProtocol& givenWire, const Clock& givenClock, EventSink& givenSink)
    : context(&givenContext)
    , address(givenAddress)
    , protocol(&givenWire)
    , sink(&givenSink)
    , connections({}, givenClock)
{
}

void HttpStoreClient::startCall(const StoreRequest& request)
{
    HttpRequest message = this->protocol->encode(request);
    message.set(boost::beast::http::field::host, this->address.text());
    HttpExchange::Options options;
    options.address = this->address;
    options.request = encode(std::move(message));
    options.connectTimeout = ConnectTimeout;
    options.timeout = request.timeout;
    // A large answer may take any time while bytes arrive: repeating the call would load a busy link even more.
    options.isIdleTimeout = true;
    const auto exchange = std::make_shared<HttpExchange>(*this->context, std::move(options),
        [this, request](HttpExchangeEnd end) { this->callEnded(request, std::move(end)); });
    this->callsInFlight[request.number] = exchange;
    exchange->start(this->connections.take(PoolKey, {}));
}

void HttpStoreClient::callEnded(const StoreRequest& request, HttpExchangeEnd end)
{
    this->callsInFlight.erase(request.number);
    StoreAnswer answer;
    answer.number = request.number;
    answer.status = statusOf(end.result);
    if (end.response)
        answer = this->protocol->decode(request, *end.response);
    // After a refusal the connection is not reused: the next call may reach a store that accepts it.
    if (end.connection && answer.status != StoreStatus::Unknown && answer.status != StoreStatus::Refused)
        this->connections.add(PoolKey, std::move(end.connection));
    ++this->callCounts.at(static_cast<std::size_t>(request.operation)).at(static_cast<std::size_t>(answer.status));
    this->sink->post(StoreAnswered{ .answer = std::move(answer) });
}

void HttpStoreClient::stop()
{
    for (const auto& [number, exchange] : this->callsInFlight)
        exchange->cancel();
    this->callsInFlight.clear();
}

}
