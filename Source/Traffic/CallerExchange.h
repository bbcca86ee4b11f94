#pragma once

#include <httplib.h>
#include <string>
#include <vector>

namespace burlreach {

/** A header line to be passed on. */
struct HeaderLine {
    std::string name;
    std::string value;
};

/** A whole request of a caller. */
struct CallerRequest {
    socket_t socket = -1; // to notice when the caller closes
    std::string method;
    std::string target; // path and query, as the caller sent them
    std::string host;
    std::vector<HeaderLine> headers; // without hop-by-hop ones
    std::string body;
};

/** A whole answer for a caller. */
struct CallerAnswer {
    int status = 0;
    std::vector<HeaderLine> headers;
    std::string body;
};

/** Answers the requests of callers; called on the threads of connections. */
class CallerHandler {
public:
    virtual ~CallerHandler() = default;
    virtual CallerAnswer answer(CallerRequest request) = 0;
    /** The answers for requests that are refused before they are whole. */
    virtual CallerAnswer refuseSession(bool hasRequestId) = 0;
    virtual CallerAnswer refuseBody(bool hasRequestId) = 0;
};

/** True for headers that belong to one connection only. */
bool isHopByHop(std::string_view name);

}
