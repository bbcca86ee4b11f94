#pragma once

#include "Base/Clock.h"
#include "Metrics/TrafficMetrics.h"
#include "Node/EventSink.h"
#include "Traffic/AttemptThreads.h"
#include "Traffic/BackendConnections.h"
#include "Traffic/CallerExchange.h"
#include "Traffic/RequestSession.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace burlreach {

/** Carries requests between callers, the decisions and backend servers. */
class RequestRunner final : public CallerHandler {
public:
    RequestRunner(const Clock& clock, EventSink& sink, TrafficMetrics& metrics);

    CallerAnswer answer(CallerRequest request) override;
    CallerAnswer refuseSession(bool hasRequestId) override;
    CallerAnswer refuseBody(bool hasRequestId) override;

    // What the decisions want done; from any thread.
    void execute(const SendAttempt& action);
    void execute(const CancelAttempt& action);
    void execute(const PassAnswer& action);
    void execute(const RefuseRequest& action);
    void execute(const SendProbe& action);

    /** Looks which callers have left. */
    void checkCallers();
    void closeIdleConnections() { this->connections.closeIdle(); }
    void stop() { this->threads.stop(); }

private:
    std::shared_ptr<RequestSession> find(RequestNumber number);
    CallerAnswer refuseEarly(RefusalReason reason, bool hasRequestId);
    CallerAnswer finish(RequestSession& session, const std::string& requestId);
    void runAttempt(RequestSession& session, const SendAttempt& attempt);
    void runProbe(const Probe& probe);

    const Clock* clock;
    EventSink* sink;
    TrafficMetrics* metrics;
    BackendConnections connections;
    AttemptThreads threads;
    std::atomic<RequestNumber> lastRequest{ 0 };
    std::mutex mutex;
    std::unordered_map<RequestNumber, std::shared_ptr<RequestSession>> sessions;
};

}
