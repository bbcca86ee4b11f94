#pragma once

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace burlreach {

/**
 * Reads a backend server's bytes from what a relay sends.
 *
 * The relay sends them in chunks, and the last chunk once the server has ended its connection in order. What
 * the server sends and what the relay adds cannot be confused, whichever of the two breaks off.
 */
class RelayStreamReader {
public:
    RelayStreamReader();
    RelayStreamReader(const RelayStreamReader&) = delete;
    RelayStreamReader& operator=(const RelayStreamReader&) = delete;

    /** Appends the server's bytes in `received` to `bytes`; returns false if the relay sent something else. */
    bool read(std::string_view received, std::string& bytes);
    /** True once the relay has told that the server has ended its connection in order. */
    bool hasServerEnded() const { return this->parser.is_done(); }

private:
    using ChunkReceived
        = std::function<std::size_t(std::uint64_t, boost::beast::string_view, boost::beast::error_code&)>;

    ChunkReceived chunkReceived; // referred to by the parser
    boost::beast::http::response_parser<boost::beast::http::empty_body> parser;
    std::string input; // received, not yet parsed
    std::string* output = nullptr; // only while read() runs
};

/** The bytes before `size` bytes of a server in what a relay sends; the line end of a chunk follows them. */
std::string relayChunkHead(std::size_t size);
/** The bytes behind those of a chunk. */
inline constexpr std::string_view RelayChunkEnd = "\r\n";
/** By which a relay tells that the server has ended its connection in order. */
inline constexpr std::string_view RelayLastChunk = "0\r\n\r\n";

}
