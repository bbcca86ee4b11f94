#pragma once

#include "Http/HttpMessage.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace burlreach {

/** A request of a connection, counted from 1 in the order in which they were read. */
using HttpRequestNumber = std::uint64_t;

/** What of a request shapes its answer. */
struct AnswerForm {
    unsigned version = 11; // of HTTP, as the parser counts it
    bool isHead = false; // the answer has no body
    bool keepsConnection = true; // false: the caller wants no further answer on the connection
};

/** Answers that are to be written next. */
struct ReadyAnswers {
    std::string bytes;
    bool isLast = false; // the connection ends with them
};

/**
 * Keeps the answers of a connection in the order of its requests, whichever is
 * ready first. Without any input or output.
 */
class AnswerOrder {
public:
    /** A request begins, behind all earlier ones. */
    HttpRequestNumber begin(const AnswerForm& form);
    /** Takes the answer of a request; false when it has one already or was never begun. */
    bool put(HttpRequestNumber request, HttpResponse response);
    /**
     * The answers that no earlier request holds back. When the connection is
     * to end, the answer of the newest request says so and is the last.
     */
    ReadyAnswers takeReady(bool endsConnection);

    /** Requests begun whose answers were not taken out yet. */
    std::size_t size() const { return this->places.size(); }
    bool isEmpty() const { return this->places.empty(); }
    /** Some request has no answer yet. */
    bool hasUnanswered() const;
    /** False when nothing may be read after the newest request. */
    bool mayBeFollowed() const { return this->places.empty() || this->places.back().form.keepsConnection; }

private:
    struct Place {
        HttpRequestNumber request = 0;
        AnswerForm form;
        std::optional<HttpResponse> response;
    };

    std::deque<Place> places;
    HttpRequestNumber last = 0;
};

}
