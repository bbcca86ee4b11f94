#include "Http/RelayStreamReader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/none.hpp>

namespace burlreach {

namespace {

namespace http = boost::beast::http;

/** The header of a message whose body is in chunks, as the relay's are. */
constexpr std::string_view ChunkedHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/** A relay's line that frames a chunk is much shorter. */
constexpr std::size_t MaxLineBytes = 64;

}

RelayStreamReader::RelayStreamReader()
    : chunkReceived([this](std::uint64_t, boost::beast::string_view chunk, boost::beast::error_code&) {
        this->output->append(chunk.data(), chunk.size());
        return chunk.size();
    })
{
    this->parser.on_chunk_body(this->chunkReceived);
    this->parser.body_limit(boost::none);
    boost::beast::error_code ignored;
    this->parser.put(boost::asio::buffer(ChunkedHeader.data(), ChunkedHeader.size()), ignored);
    this->parser.eager(true);
}

bool RelayStreamReader::read(std::string_view received, std::string& bytes)
{
    this->input.append(received);
    this->output = &bytes;
    boost::beast::error_code error;
    while (!this->input.empty() && !error && !this->parser.is_done())
        this->input.erase(0, this->parser.put(boost::asio::buffer(this->input), error));
    this->output = nullptr;
    const bool isMissingMore = error == http::error::need_more && this->input.size() <= MaxLineBytes;
    // Nothing comes behind the last chunk.
    return (!error || isMissingMore) && !(this->parser.is_done() && !this->input.empty());
}

std::string relayChunkHead(std::size_t size)
{
    return boost::beast::buffers_to_string(http::chunk_header(size));
}

}
