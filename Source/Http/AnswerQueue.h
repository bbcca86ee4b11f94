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
 *
 * An answer is set whole, or begun with its header and then passed on piece by
 * piece. Of a begun answer, what has come so far is taken once all earlier
 * requests are answered. Until its header is taken, it can be withdrawn.
 */
class AnswerQueue {
public:
    /** Adds a request after all earlier ones and returns its number. */
    HttpRequestNumber addRequest(const AnswerFormat& form);
    /** Stores the answer to a request. Returns false if the request has one already or does not exist. */
    bool setAnswer(HttpRequestNumber request, HttpResponse response);
    /**
     * Begins the answer to a request with a header; its body has this length, or none is known. Returns false if the
     * request has an answer already or does not exist.
     */
    bool beginAnswer(HttpRequestNumber request, HttpResponse header, std::optional<std::uint64_t> length);
    /** Adds a piece of the body of a begun answer; nothing happens if the request has no such answer. */
    void addBody(HttpRequestNumber request, HttpBody piece);
    /** The begun answer is whole. */
    void endAnswer(HttpRequestNumber request);
    /** Forgets a begun answer of which nothing was taken; returns false if something was. */
    bool withdrawAnswer(HttpRequestNumber request);
    /** Removes all requests, as nothing can follow an answer that has broken off. */
    void clear() { this->requests.clear(); }
    /**
     * Removes and returns the answers to the oldest requests, up to the first
     * one without an answer; of a begun answer, what has come so far. If endsConnection, the answer to the newest
     * request gets "Connection: close" and is the last one.
     */
    ReadyAnswers takeReady(bool endsConnection);

    /** Bytes of the bodies that were not taken yet. */
    std::size_t waitingBytes() const;
    /** The number of requests whose answers were not taken yet. */
    std::size_t size() const { return this->requests.size(); }
    bool isEmpty() const { return this->requests.empty(); }
    /** Returns true if a request has no answer yet, or one that is not whole. */
    bool hasUnanswered() const;
    /** Returns false if the newest request asked to close the connection, so that nothing may be read after it. */
    bool mayReadNext() const { return this->requests.empty() || this->requests.back().form.keepsConnection; }

private:
    /** An answer that is passed on piece by piece. */
    struct BegunAnswer {
        std::optional<std::uint64_t> length; // of the body
        bool isHeaderTaken = false;
        bool isWhole = false;
    };

    struct PendingRequest {
        HttpRequestNumber request = 0;
        AnswerFormat form;
        std::optional<HttpResponse> response; // of a begun answer, the header and the body that was not taken yet
        std::optional<BegunAnswer> begun; // empty: the answer is set whole

        bool hasWholeAnswer() const { return this->response && (!this->begun || this->begun->isWhole); }
    };

    PendingRequest* find(HttpRequestNumber request);
    /** Appends what has come of a begun answer. */
    static void takeBegun(PendingRequest& pending, bool endsConnection, std::vector<EncodedMessage>& messages);

    std::deque<PendingRequest> requests;
    HttpRequestNumber lastNumber = 0;
};

}
