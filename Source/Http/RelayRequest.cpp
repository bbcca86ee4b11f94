#include "Http/RelayRequest.h"

#include "Http/HttpMessage.h"

#include <algorithm>
#include <array>
#include <asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <utility>

namespace burlreach {

namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t MaxHeaderBytes = 4096;
constexpr std::size_t ReadSize = 1024;

struct ReplyStatus {
    RelayReply reply;
    http::status status;
};

constexpr std::array<ReplyStatus, 5> ReplyStatuses{ {
    { RelayReply::Connected, http::status::ok },
    { RelayReply::ServerRefused, http::status::bad_gateway },
    { RelayReply::ServerSilent, http::status::gateway_timeout },
    { RelayReply::NoPath, http::status::misdirected_request },
    { RelayReply::ServiceUnreached, http::status::not_found },
} };
/** Any other status means the same. */
constexpr http::status DeclinedStatus = http::status::service_unavailable;

RelayReply replyOf(http::status status)
{
    const auto* found = std::find_if(ReplyStatuses.begin(), ReplyStatuses.end(),
        [status](const ReplyStatus& item) { return item.status == status; });
    return found == ReplyStatuses.end() ? RelayReply::Declined : found->reply;
}

/** Reads the answer to a CONNECT request. */
class RelayAnswerReader : public std::enable_shared_from_this<RelayAnswerReader> {
public:
    RelayAnswerReader(std::shared_ptr<HttpConnection> opened, RelayAnswered completion)
        : connection(std::move(opened))
        , answered(std::move(completion))
    {
        this->parser.skip(true);
        this->parser.header_limit(MaxHeaderBytes);
    }

    void read()
    {
        this->connection->socket.async_read_some(asio::buffer(this->chunk),
            [self = this->shared_from_this()](const asio::error_code& error, std::size_t size) {
                if (error)
                    return self->answered({});
                self->input.append(self->chunk.data(), size);
                self->parse();
            });
    }

private:
    void parse()
    {
        boost::beast::error_code error;
        const std::size_t used = this->parser.put(boost::asio::buffer(this->input), error);
        this->input.erase(0, used);
        if (error == http::error::need_more)
            return this->read();
        // A server sends nothing before it has received a request.
        const bool isUsable = !error && this->parser.is_header_done() && this->input.empty();
        if (!isUsable)
            return this->answered({});
        this->answered({ .reply = replyOf(this->parser.get().result()), .isInChunks = this->parser.chunked() });
    }

    std::shared_ptr<HttpConnection> connection;
    RelayAnswered answered;
    http::response_parser<http::empty_body> parser;
    std::array<char, ReadSize> chunk{};
    std::string input; // read, not yet parsed
};

}

unsigned statusOf(RelayReply reply)
{
    const auto* found = std::find_if(
        ReplyStatuses.begin(), ReplyStatuses.end(), [reply](const ReplyStatus& item) { return item.reply == reply; });
    return static_cast<unsigned>(found == ReplyStatuses.end() ? DeclinedStatus : found->status);
}

void requestRelay(
    const std::shared_ptr<HttpConnection>& connection, std::string_view backendServer, RelayAnswered answered)
{
    constexpr unsigned httpVersion = 11;
    HttpRequest request(http::verb::connect, "relay:0", httpVersion);
    request.set(http::field::host, "relay");
    setField(request, RelayServerField, backendServer);
    setField(request, RelayChunksField, RelayChunksValue);
    const auto text = std::make_shared<std::string>(encode(std::move(request)));
    const auto reader = std::make_shared<RelayAnswerReader>(connection, std::move(answered));
    asio::async_write(connection->socket, asio::buffer(*text),
        // A write error also ends the read.
        [text, connection](const asio::error_code&, std::size_t) {});
    reader->read();
}

}
