#pragma once

#include "Http/BlockAllocator.h"

#include <asio/buffer.hpp>
#include <boost/beast/core/multi_buffer.hpp>
#include <boost/beast/http/basic_dynamic_body.hpp>
#include <boost/beast/http/message.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burlreach {

using HttpFields = boost::beast::http::fields;
/** The bytes of a body, in blocks that stay where they are while it grows: a large body is never copied. */
using HttpBody = boost::beast::basic_multi_buffer<BlockAllocator<char>>;
/** A complete request; a chunked body has been decoded. */
using HttpRequest = boost::beast::http::request<boost::beast::http::basic_dynamic_body<HttpBody>>;
/** A complete answer; a chunked body has been decoded. */
using HttpResponse = boost::beast::http::response<boost::beast::http::basic_dynamic_body<HttpBody>>;

/** A message in the form in which it is written: its header, and its body where it was received. */
struct EncodedMessage {
    std::string head;
    std::shared_ptr<const HttpBody> body; // null: none

    std::size_t size() const { return this->head.size() + (this->body ? this->body->size() : 0); }
};

/** Replaces the contents of a body. */
void setBody(HttpBody& body, std::string_view text);
/** A copy of the whole body. */
std::string textOf(const HttpBody& body);
/** The blocks of a body in their order. */
std::vector<std::string_view> blocksOf(const HttpBody& body);
/** Appends a message's parts in their order; they refer to its bytes. */
void addBuffers(const EncodedMessage& message, std::vector<asio::const_buffer>& buffers);

/** Returns the value of a field, or an empty text if the field is missing. */
std::string_view valueOf(const HttpFields& fields, std::string_view name);
void setField(HttpFields& fields, std::string_view name, std::string_view value);

/** The class of the answer's status by its number; the library's functions know only statuses that have a name. */
boost::beast::http::status_class statusClassOf(const HttpResponse& response);
/** Returns true for an answer that announces a further one to the same request. */
bool isInterim(const HttpResponse& response);
/**
 * Returns false for a status that no server may send in answer to a request of ours: of no class, or a change to
 * another protocol, which we never ask for.
 */
bool hasUsableStatus(const HttpResponse& response);

/** Returns true for hop-by-hop fields, which are not forwarded. */
bool isHopByHopField(boost::beast::http::field name);
/** Removes all hop-by-hop fields, including those named by the field Connection. */
void removeHopByHopFields(HttpFields& fields);

/** Serializes a message. Content-Length is set if the message may have a body. */
std::string encode(HttpRequest request);
/** Encodes a request with this body in place of its own. Content-Length is set if the message may have a body. */
EncodedMessage encode(HttpRequest request, std::shared_ptr<const HttpBody> body);
/** Encodes an answer. An answer to HEAD keeps its Content-Length but not its body. */
EncodedMessage encode(HttpResponse response, bool isAnswerToHead);

/**
 * Encodes the header of an answer whose body follows piece by piece: as so many bytes, or in chunks if there is no
 * length.
 */
EncodedMessage encodeBegin(HttpResponse response, std::optional<std::uint64_t> length);
/** Appends the encoded parts of a piece of such a body; the piece is not empty. */
void encodePiece(HttpBody piece, bool isInChunks, std::vector<EncodedMessage>& messages);
/** What ends a body in chunks. */
EncodedMessage encodeLastChunk();

/** Returns the seconds N of "Keep-Alive: timeout=N"; negative if the field or the parameter is missing. */
double keepAliveSeconds(const HttpFields& fields);

}
