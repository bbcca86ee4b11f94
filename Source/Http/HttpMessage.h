#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>

namespace burlreach {

using HttpFields = boost::beast::http::fields;
/** A complete request; a chunked body has been decoded. */
using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
/** A complete answer; a chunked body has been decoded. */
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

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
/** Serializes an answer. An answer to HEAD keeps its Content-Length but not its body. */
std::string encode(HttpResponse response, bool isAnswerToHead);

/** Returns the seconds N of "Keep-Alive: timeout=N"; negative if the field or the parameter is missing. */
double keepAliveSeconds(const HttpFields& fields);

}
