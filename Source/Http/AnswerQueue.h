#pragma once

#include "Http/HttpMessage.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace burlreach {

/** The number of a request within its connection, counted from 1 in the order in which requests are read. */
using HttpRequestNumber = std::uint64_t;

/** The properties of a request that determine the form of its answer. */
struct AnswerFormat {
    unsigned version = 11; // of HTTP, as in Boost.Beast: 11 is HTTP/1.1
    bool isHeadRequest = false; // a HEAD request; its answer has no body
    bool keepsConnection = true; // false: the caller asked to close the connection after the answer
};

/** Encoded answers that are to be written next. */
struct ReadyAnswers {
    std::vector<EncodedMessage> messages;
    bool isLast = false; // the connection is closed after them

    /** Bytes of all messages. */
    std::size_t size() const;
};

/**
 * Puts the answers to the pipelined requests of a connection into the order of
 * the requests. Does no input or output.
 */
class AnswerQueue {
public:
    /** Adds a request after all earlier ones and returns its number. */
    HttpRequestNumber addRequest(const AnswerFormat& form);
    /** Stores the answer to a request. Returns false if the request has one already or does not exist. */
    bool setAnswer(HttpRequestNumber request, HttpResponse response);
    /**
     * Removes and returns the answers to the oldest requests, up to the first
     * one without an answer. If endsConnection, the answer to the newest request
     * gets "Connection: close" and is the last one.
     */
    ReadyAnswers takeReady(bool endsConnection);

    /** Bytes of the bodies of the answers that wait for an earlier one. */
    std::size_t waitingBytes() const;
    /** The number of requests whose answers were not taken yet. */
    std::size_t size() const { return this->requests.size(); }
    bool isEmpty() const { return this->requests.empty(); }
    /** Returns true if a request has no answer yet. */
    bool hasUnanswered() const;
    /** Returns false if the newest request asked to close the connection, so that nothing may be read after it. */
    bool mayReadNext() const { return this->requests.empty() || this->requests.back().form.keepsConnection; }

private:
    struct PendingRequest {
        HttpRequestNumber request = 0;
        AnswerFormat form;
        std::optional<HttpResponse> response;
    };

    std::deque<PendingRequest> requests;
    HttpRequestNumber lastNumber = 0;
};

}
