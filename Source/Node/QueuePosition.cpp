#include "Node/QueuePosition.h"

#include <algorithm>

namespace burlreach {

namespace {

/** Higher ranks are treated as this one. */
constexpr std::uint32_t MaxRank = 1000;

}

void classifyCaller(RequestState& request, DecisionCounters& counters)
{
    ServiceState& service = *request.service;
    service.latePromotions.countArrival();
    if (!request.timeLeft)
        return;
    request.spentBefore = service.estimateTimeSpent(*request.route, *request.timeLeft);
    if (!isLateCaller(request.spentBefore, service.expectedTime(*request.route), request.route->targetLatency))
        return;
    counters.add(DecisionCount::LateCallers);
    // A small share of late requests is queued as if in time, so that none starve during a long overload.
    request.isLate = !service.latePromotions.take();
}

std::uint32_t queueRank(const RequestState& request)
{
    // A late request, or one beyond its customer's part, may be sent only to lightly loaded servers. At the front of
    // the queue it would block requests that may go to busier ones.
    const std::uint32_t customerRank = std::min(request.identity.rank.value_or(request.route->rank), MaxRank);
    const std::uint32_t rank = customerRank * (MaxRank + 1) + std::min(request.route->rank, MaxRank);
    return rank * 2 + (request.isLate || request.isBeyondPart ? 1 : 0);
}

std::string_view queueCustomer(const RequestState& request)
{
    return request.identity.sharesByCustomer ? std::string_view(request.identity.customer) : std::string_view();
}

void pushToQueue(RequestState& request, Milliseconds now)
{
    request.queuedAt = now;
    request.service->queue.push(queueRank(request), queueCustomer(request), request.number);
}

void pushToQueueFront(const RequestState& request)
{
    request.service->queue.pushFront(queueRank(request), queueCustomer(request), request.number);
}

}
