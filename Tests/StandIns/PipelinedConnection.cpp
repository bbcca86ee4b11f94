#include "Tests/StandIns/PipelinedConnection.h"

#include <array>
#include <asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <poll.h>
#include <utility>

namespace burlreach {

namespace {

namespace http = boost::beast::http;

/** In milliseconds; the same as the read timeout of the other callers. */
constexpr int LongestSilence = 30000;

}

PipelinedConnection::PipelinedConnection(std::string givenHost)
    : host(std::move(givenHost))
    , socket(this->context)
{
}

bool PipelinedConnection::connect(int port)
{
    this->close();
    this->input.clear();
    asio::error_code error;
    this->socket.connect({ asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port) }, error);
    if (error)
        this->close();
    return !error;
}

void PipelinedConnection::close()
{
    asio::error_code ignored;
    this->socket.close(ignored);
}

std::vector<PipelinedAnswer> PipelinedConnection::search(const std::vector<std::string>& ids)
{
    std::string requests;
    for (const std::string& id : ids)
        requests += "GET /search?from=a&to=b HTTP/1.1\r\nHost: " + this->host + "\r\nEcho: " + id + "\r\n\r\n";
    asio::error_code error;
    asio::write(this->socket, asio::buffer(requests), error);
    std::vector<PipelinedAnswer> answers;
    while (!error && answers.size() < ids.size()) {
        auto answer = this->readAnswer();
        if (!answer)
            break;
        answers.push_back(std::move(*answer));
        if (answers.back().closes)
            break;
    }
    if (answers.size() < ids.size() || answers.back().closes)
        this->close();
    return answers;
}

std::optional<PipelinedAnswer> PipelinedConnection::readAnswer()
{
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    std::array<char, 4096> chunk{};
    while (!parser.is_done()) {
        if (!this->input.empty()) {
            boost::beast::error_code failed;
            const std::size_t used = parser.put(boost::asio::buffer(this->input), failed);
            this->input.erase(0, used);
            if (failed && failed != http::error::need_more)
                return std::nullopt;
            if (used > 0 || parser.is_done())
                continue;
        }
        asio::error_code error;
        pollfd waited{ .fd = this->socket.native_handle(), .events = POLLIN, .revents = 0 };
        if (poll(&waited, 1, LongestSilence) <= 0)
            return std::nullopt;
        const std::size_t size = this->socket.read_some(asio::buffer(chunk), error);
        if (error)
            return std::nullopt;
        this->input.append(chunk.data(), size);
    }
    const auto& response = parser.get();
    return PipelinedAnswer{ .status = static_cast<int>(response.result_int()),
        .outcome = std::string(response["Burlreach-Outcome"]),
        .body = response.body(),
        .closes = !response.keep_alive() };
}

}
