#include "Traffic/RequestReader.h"

#include "Traffic/Headers.h"
#include "Traffic/NumberText.h"

#include <algorithm>
#include <strings.h>

namespace burlreach {

namespace {

constexpr std::size_t MaximumRequestIdLength = 128;
constexpr std::uint32_t LongestDeadline = 3600000;

const std::string* find(const CallerRequest& request, const char* name)
{
    for (const HeaderLine& header : request.headers) {
        if (!strcasecmp(header.name.c_str(), name))
            return &header.value;
    }
    return nullptr;
}

bool isVisible(char character)
{
    return character > ' ' && character <= '~';
}

bool isRequestId(const std::string& text)
{
    return !text.empty() && text.size() <= MaximumRequestIdLength && std::all_of(text.begin(), text.end(), isVisible);
}

void readRequestId(const CallerRequest& request, RequestArrived& event)
{
    const std::string* requestId = find(request, RequestIdHeader);
    if (!requestId)
        return;
    event.requestId = *requestId;
    event.isReadable = event.isReadable && isRequestId(*requestId);
}

void readAttempt(const CallerRequest& request, RequestArrived& event)
{
    const std::string* text = find(request, AttemptHeader);
    if (!text)
        return;
    const auto number = readNumber(*text);
    event.attempt = number.value_or(0);
    event.isReadable = event.isReadable && event.attempt > 0;
}

void readDeadline(const CallerRequest& request, RequestArrived& event)
{
    const std::string* text = find(request, DeadlineHeader);
    if (!text)
        return;
    const auto number = readNumber(*text);
    event.isReadable = event.isReadable && number && *number <= LongestDeadline;
    event.timeLeft = Milliseconds{ static_cast<double>(number.value_or(0)) };
}

void readPriority(const CallerRequest& request, RequestArrived& event)
{
    const std::string* text = find(request, PriorityHeader);
    if (!text)
        return;
    if (*text == "first")
        event.priority = v1::FIRST;
    else if (*text == "can-wait")
        event.priority = v1::CAN_WAIT;
    else
        event.isReadable = false;
}

}

RequestArrived readRequest(const CallerRequest& request)
{
    RequestArrived event;
    event.host = request.host.substr(0, request.host.find(':'));
    event.method = request.method;
    event.bodyBytes = request.body.size();
    event.path = request.target.substr(0, request.target.find('?'));
    event.isRetry = find(request, RetryHeader) != nullptr;
    readRequestId(request, event);
    readAttempt(request, event);
    readDeadline(request, event);
    readPriority(request, event);
    return event;
}

}
