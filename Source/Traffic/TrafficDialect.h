#pragma once

#include "Http/AnswerMatch.h"
#include "Http/HttpMessage.h"
#include "Node/Actions.h"
#include "Routing/ServerNotice.h"
#include "Traffic/BearerKey.h"

#include <optional>
#include <string>
#include <string_view>

namespace burlreach {

/** What a caller's header fields say about its request. */
struct CallerFields {
    std::string requestId; // empty: none was sent
    std::optional<Milliseconds> timeLeft; // until the caller's deadline
    Credential credential;
    bool isValid = true; // false: a field of the dialect is invalid or a required one is missing
};

/** What is sent to a backend server with an attempt, in header fields. */
struct AttemptFields {
    std::string backendServer; // the server that is meant; any other one must refuse the request
    Milliseconds timeLeft; // until the final answer is due
    ForwardedCustomer customer;
};

/** Reads and writes the header fields and statuses that callers, instances and backend servers exchange. */
class TrafficDialect {
public:
    virtual ~TrafficDialect() = default;

    virtual CallerFields readCaller(const HttpRequest& request) const = 0;
    /** Returns true for fields whose value changes when a request is repeated, such as its id. */
    virtual bool variesByAttempt(std::string_view field) const = 0;
    virtual void writeAttempt(HttpRequest& request, const AttemptFields& fields) const = 0;
    virtual void writeProbe(HttpRequest& request, const std::string& backendServer) const = 0;

    /** Returns true for answer fields that the dialect defines, whether or not their value is used. */
    virtual bool isKnownAnswerField(std::string_view field) const = 0;
    /**
     * Judges by its header whether a backend server's answer belongs to this request. The id is empty for probes, whose
     * answers carry none.
     */
    virtual AnswerMatch matchAnswer(const HttpResponse& response, std::string_view requestId) const = 0;
    /** Reads what the server announces in the header of any answer; the notice is empty if another server answered. */
    virtual ServerNotice readNotice(const HttpResponse& response, std::string_view backendServer) const = 0;
    virtual AttemptEnd readAnswer(const HttpResponse& response, std::string_view backendServer) const = 0;
    virtual ProbeEnd readProbe(const HttpResponse& response, std::string_view backendServer) const = 0;

    /** Adds the fields that callers get with a backend server's answer. */
    virtual void writeAnswer(HttpResponse& response) const = 0;
    /** Makes the answer for a refused request. */
    virtual HttpResponse makeRefusal(const RefuseRequest& refusal, std::string_view requestId) const = 0;
};

}
