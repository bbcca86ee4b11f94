#pragma once

#include "Base/Clock.h"
#include "Http/HttpConnectionPool.h"
#include "Http/HttpExchange.h"
#include "Http/HttpListener.h"
#include "Http/OpenConnection.h"
#include "Metrics/TrafficMetrics.h"
#include "Node/Actions.h"
#include "Node/EventSink.h"
#include "Node/RepeatLookup.h"
#include "Timers/Timer.h"
#include "Traffic/TrafficDialect.h"
#include "Traffic/UnreadFields.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <unordered_map>

namespace burlreach {

/**
 * Carries requests between callers, the decisions and backend servers, on the
 * thread of traffic. Requests and answers are passed on whole.
 */
class RequestDesk final : private HttpSessionHandler {
public:
    struct Options {
        NetworkAddress address;
        std::size_t mostSessions = 4000;
        HttpSessionLimits limits; // until a configuration names others
        Milliseconds connectTimeout{ 250 };
        /**
         * Callers that connect wait at most so long: a little less than the second after which they give up. After a
         * loss of all 95 instances half of those refused after 400 ms would have been served 0.2 s later, the last 0.6
         * s.
         */
        Milliseconds longestWithoutConfiguration{ 850 };
        Milliseconds longestIdleRunOnce{ 1000 }; // of a connection that a run-once request may take
    };

    struct Parts {
        const TrafficDialect* dialect = nullptr;
        const Clock* clock = nullptr;
        EventSink* sink = nullptr;
        const RepeatLookup* repeats = nullptr;
        TrafficMetrics* metrics = nullptr;
    };

    RequestDesk(asio::io_context& context, Options options, Parts parts);

    /**
     * Callers can connect at once. The first ones are accepted with the first
     * configuration, or refused when it does not come soon.
     */
    std::error_code start();
    HttpListener& sessions() { return this->listener; }
    void tend();

    void execute(const SendAttempt& action);
    void execute(const CancelAttempt& action);
    void execute(const PassAnswer& action);
    void execute(const RefuseRequest& action);
    void execute(const SendProbe& action);
    void execute(const StopSendingTo& action);
    void execute(const CheckServer& action);
    void execute(const SetCallerLimits& action);

    std::size_t openRequests() const { return this->requests.size(); }

private:
    /** An attempt under way, or its answer. */
    struct Attempt {
        std::shared_ptr<HttpExchange> exchange;
        std::string backendServer;
        Milliseconds sentAt;
        std::optional<HttpResponse> response;
    };

    /** A request whose caller waits. */
    struct Request {
        std::weak_ptr<HttpSession> session;
        HttpRequestNumber place = 0; // within the session
        HttpRequest message;
        std::string requestId;
        Milliseconds arrivedAt;
        Milliseconds atBackendServer; // of the attempt that answered
        std::map<AttemptNumber, Attempt> attempts;
    };

    void requestRead(const std::shared_ptr<HttpSession>& session, ReadRequest request) override;
    void requestUnreadable(
        const std::shared_ptr<HttpSession>& session, HttpRequestNumber request, HttpRequestProblem problem) override;
    bool mayBeginEarly(const HttpRequest& request) const override;
    void callerGone(const std::shared_ptr<HttpSession>& session) override;
    void sessionRefused() override;

    /** The header of an answer has come, whatever becomes of the answer. */
    /** Of an answer to something that was sent at this time. */
    void headerRead(
        const std::string& backendServer, std::uint64_t life, Milliseconds sentAt, const HttpResponse& header);
    HttpRequest forwarded(const Request& request, const SendAttempt& action) const;
    void attemptEnded(RequestNumber number, AttemptNumber attempt, HttpExchangeEnd end);
    AttemptEnd endOf(const HttpExchangeEnd& end, const std::string& backendServer) const;
    void probeEnded(const Probe& probe, bool wasKept, HttpExchangeEnd end);
    void probe(const Probe& probe, std::shared_ptr<HttpConnection> kept);
    void keep(const std::string& backendServer, HttpExchangeEnd& end);
    void finish(RequestNumber number, HttpResponse response);
    void forgetOfSession(std::uint64_t session, RequestNumber number);

    asio::io_context* context;
    Options options;
    Parts parts;
    HttpListener listener;
    Timer acceptTimer;
    HttpConnectionPool connections;
    UnreadFields unreadFields;
    std::unordered_map<RequestNumber, Request> requests;
    std::unordered_multimap<std::uint64_t, RequestNumber> bySession;
    RequestNumber last = 0;
};

}
