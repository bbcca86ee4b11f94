#pragma once

#include "Http/HttpMessage.h"
#include "Node/Actions.h"
#include "Routing/ServerNotice.h"
#include "Traffic/BearerKey.h"

#include <optional>
#include <string>
#include <string_view>

namespace burlreach {

/** What a caller says of its request besides the request itself. */
struct CallerWords {
    std::string requestId; // empty: not given
    std::optional<Milliseconds> timeLeft; // until the caller's deadline
    Credential credential;
    bool isReadable = true; // false: a field of ours has no valid value
};

/** What is told to a backend server with an attempt. */
struct AttemptWords {
    std::string backendServer; // any other one must refuse
    Milliseconds timeLeft;
    CustomerWords customer;
};

/**
 * The header fields and statuses that callers, instances and backend servers
 * use among themselves.
 */
class TrafficDialect {
public:
    virtual ~TrafficDialect() = default;

    virtual CallerWords readCaller(const HttpRequest& request) const = 0;
    /** True for fields that differ when the same request comes again, such as its id. */
    virtual bool variesByAttempt(std::string_view field) const = 0;
    virtual void writeAttempt(HttpRequest& request, const AttemptWords& words) const = 0;
    virtual void writeProbe(HttpRequest& request, const std::string& backendServer) const = 0;

    /** True for the dialect's own fields of answers: each is read, or is known to need no reading. */
    virtual bool knowsAnswerField(std::string_view field) const = 0;
    /** False when a backend server's answer belongs to another request. */
    virtual bool isAnswerTo(const HttpResponse& response, std::string_view requestId) const = 0;
    /** What the server says of itself in the header of any answer; nothing when another server answered. */
    virtual ServerNotice readNotice(const HttpResponse& response, std::string_view backendServer) const = 0;
    virtual AttemptEnd readAnswer(const HttpResponse& response, std::string_view backendServer) const = 0;
    virtual ProbeEnd readProbe(const HttpResponse& response, std::string_view backendServer) const = 0;

    /** Adds what callers are told with a backend server's answer. */
    virtual void writeAnswer(HttpResponse& response) const = 0;
    virtual HttpResponse refusal(const RefuseRequest& refusal, std::string_view requestId) const = 0;
};

}
