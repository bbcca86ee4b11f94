#include "Http/HttpMessage.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/serializer.hpp>
#include <charconv>
#include <utility>
#include <vector>

namespace burlreach {

namespace {

namespace http = boost::beast::http;

constexpr std::array<http::field, 9> HopByHopFields{
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_connection,
    http::field::te,
    http::field::trailer,
    http::field::transfer_encoding,
    http::field::upgrade,
    http::field::content_length,
    http::field::expect,
};

boost::beast::string_view viewOf(std::string_view text)
{
    return { text.data(), text.size() };
}

std::string_view viewOf(boost::beast::string_view text)
{
    return { text.data(), text.size() };
}

constexpr std::size_t UsualHeaderBytes = 1024;

/** Serializes a header as it is, with the empty line behind it. */
template <bool IsRequest>
std::string encodeHead(http::header<IsRequest, HttpFields>&& header)
{
    http::message<IsRequest, http::empty_body> message(std::move(header));
    http::serializer<IsRequest, http::empty_body> serializer(message);
    // Behind a header that announces chunks, the empty body would be encoded as the last chunk.
    serializer.split(true);
    std::string bytes;
    bytes.reserve(UsualHeaderBytes);
    boost::beast::error_code error;
    const auto append = [&](boost::beast::error_code&, const auto& buffers) {
        std::size_t size = 0;
        for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
            bytes.append(static_cast<const char*>(buffer.data()), buffer.size());
            size += buffer.size();
        }
        serializer.consume(size);
    };
    while (!serializer.is_header_done() && !error)
        serializer.next(error, append);
    return bytes;
}

bool mayHaveBody(const HttpResponse& response)
{
    return response.result() != http::status::no_content && response.result() != http::status::not_modified
        && statusClassOf(response) != http::status_class::informational;
}

}

std::string_view valueOf(const HttpFields& fields, std::string_view name)
{
    const auto found = fields.find(viewOf(name));
    return found == fields.end() ? std::string_view() : viewOf(found->value());
}

void setField(HttpFields& fields, std::string_view name, std::string_view value)
{
    fields.set(viewOf(name), viewOf(value));
}

http::status_class statusClassOf(const HttpResponse& response)
{
    constexpr unsigned perClass = 100;
    switch (response.result_int() / perClass) {
    case 1:
        return http::status_class::informational;
    case 2:
        return http::status_class::successful;
    case 3:
        return http::status_class::redirection;
    case 4:
        return http::status_class::client_error;
    case 5:
        return http::status_class::server_error;
    default:
        return http::status_class::unknown;
    }
}

bool isInterim(const HttpResponse& response)
{
    return statusClassOf(response) == http::status_class::informational
        && response.result() != http::status::switching_protocols;
}

bool hasUsableStatus(const HttpResponse& response)
{
    return statusClassOf(response) != http::status_class::unknown
        && response.result() != http::status::switching_protocols;
}

bool isHopByHopField(http::field name)
{
    return std::find(HopByHopFields.begin(), HopByHopFields.end(), name) != HopByHopFields.end();
}

void removeHopByHopFields(HttpFields& fields)
{
    std::vector<std::string> named;
    for (auto range = fields.equal_range(http::field::connection); range.first != range.second; ++range.first) {
        for (const auto token : http::token_list(range.first->value()))
            named.emplace_back(token.data(), token.size());
    }
    for (const std::string& name : named)
        fields.erase(viewOf(std::string_view(name)));
    for (const http::field field : HopByHopFields)
        fields.erase(field);
}

void addBuffers(const EncodedMessage& message, std::vector<asio::const_buffer>& buffers)
{
    buffers.emplace_back(asio::buffer(message.head));
    if (!message.body)
        return;
    for (const std::string_view block : blocksOf(*message.body))
        buffers.emplace_back(block.data(), block.size());
}

void setBody(HttpBody& body, std::string_view text)
{
    body.clear();
    body.commit(boost::asio::buffer_copy(body.prepare(text.size()), boost::asio::buffer(text.data(), text.size())));
}

std::string textOf(const HttpBody& body)
{
    return boost::beast::buffers_to_string(body.data());
}

std::vector<std::string_view> blocksOf(const HttpBody& body)
{
    std::vector<std::string_view> blocks;
    const auto data = body.data();
    for (const boost::asio::const_buffer block : boost::beast::buffers_range_ref(data)) {
        if (block.size())
            blocks.emplace_back(static_cast<const char*>(block.data()), block.size());
    }
    return blocks;
}

EncodedMessage encode(HttpRequest request, std::shared_ptr<const HttpBody> body)
{
    const bool usuallyHasBody = request.method() == http::verb::post || request.method() == http::verb::put
        || request.method() == http::verb::patch;
    if (body->size() || usuallyHasBody)
        request.content_length(body->size());
    return { .head = encodeHead<true>(std::move(request.base())), .body = std::move(body) };
}

std::string encode(HttpRequest request)
{
    auto body = std::make_shared<const HttpBody>(std::move(request.body()));
    const EncodedMessage encoded = encode(std::move(request), std::move(body));
    return encoded.head + textOf(*encoded.body);
}

EncodedMessage encode(HttpResponse response, bool isAnswerToHead)
{
    const bool hasBody = mayHaveBody(response);
    if (hasBody)
        response.content_length(response.body().size());
    EncodedMessage encoded;
    if (hasBody && !isAnswerToHead && response.body().size())
        encoded.body = std::make_shared<const HttpBody>(std::move(response.body()));
    encoded.head = encodeHead<false>(std::move(response.base()));
    return encoded;
}

EncodedMessage encodeBegin(HttpResponse response, std::optional<std::uint64_t> length)
{
    if (length)
        response.content_length(*length);
    else
        response.chunked(true);
    return { .head = encodeHead<false>(std::move(response.base())), .body = nullptr };
}

void encodePiece(HttpBody piece, bool isInChunks, std::vector<EncodedMessage>& messages)
{
    EncodedMessage encoded;
    if (isInChunks)
        encoded.head = boost::beast::buffers_to_string(http::chunk_header(piece.size()));
    encoded.body = std::make_shared<const HttpBody>(std::move(piece));
    messages.push_back(std::move(encoded));
    if (isInChunks)
        messages.push_back({ .head = "\r\n", .body = nullptr });
}

EncodedMessage encodeLastChunk()
{
    return { .head = "0\r\n\r\n", .body = nullptr };
}

double keepAliveSeconds(const HttpFields& fields)
{
    constexpr std::string_view parameter = "timeout=";
    const std::string_view value = valueOf(fields, "Keep-Alive");
    const std::size_t start = value.find(parameter);
    if (start == std::string_view::npos)
        return -1;
    const std::string_view digits = value.substr(start + parameter.size());
    unsigned seconds = 0;
    const auto read = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return read.ec == std::errc() ? seconds : -1;
}

}
