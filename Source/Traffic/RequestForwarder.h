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
 * Forwards callers' requests to backend servers and the answers back to the
 * callers, on the traffic thread. Posts events to the event sink and executes
 * the actions that Node decides on. Also sends probes and checks whether a
 * server accepts connections. Requests are buffered whole, each body once. Answers are held until they are whole,
 * unless Node decides that the caller gets one while it comes.
 */
class RequestForwarder final : private HttpSessionHandler {
public:
    struct Options {
        NetworkAddress address;
        std::size_t maxSessions = 4000;
        HttpSessionLimits limits; // in force until the first configuration
        Milliseconds connectTimeout{ 250 };
        /**
         * How long connecting callers wait for the first configuration. A little less than the 1 s after which callers
         * give up. With 400 ms, after a loss of all 95 instances, half of the refused requests would have been served
         * within 0.2 s more, and the last within 0.6 s.
         */
        Milliseconds maxWaitForConfiguration{ 850 };
        /** A request that waited longer since its caller was last known to be there is sent only if it still is. */
        Milliseconds callerCheckInterval{ 20 };
        /** Longest idle time of a kept connection on which a run-once request may be sent. */
        Milliseconds maxIdleForRunOnce{ 1000 };
        /** In bytes, for all that callers and servers make the instance hold; one body of the largest size fits. */
        std::size_t maxMemory = 100000000;
        /** In bytes. While memory is scarce, an answer of which its caller has not taken so much is not read further.
         */
        std::size_t maxUntakenBytes = 262144;
    };

    struct Dependencies {
        const TrafficDialect* dialect = nullptr;
        const Clock* clock = nullptr;
        EventSink* sink = nullptr;
        const RepeatLookup* repeats = nullptr;
        TrafficMetrics* metrics = nullptr;
    };

    RequestForwarder(asio::io_context& context, Options options, Dependencies parts);

    /**
     * Listens for callers. They can connect at once, but connections are
     * accepted only after the first configuration or, if there is none, after
     * maxWaitForConfiguration.
     */
    std::error_code start();
    HttpListener& callerListener() { return this->listener; }
    /** Closes expired sessions and connections and updates the metrics; to be called about once a second. */
    void runMaintenance();

    void execute(const SendAttempt& action);
    void execute(const CancelAttempt& action);
    void execute(const BeginAnswer& action);
    void execute(const ForwardAnswer& action);
    void execute(const RefuseRequest& action);
    void execute(const SendProbe& action);
    void execute(const StopSendingTo& action);
    void execute(const CheckServer& action);
    void execute(const SetCallerLimits& action);

    /** Bounds the bytes that callers and servers make the instance hold, from now on. */
    void setMaxMemory(std::size_t bytes) { this->memory->setMaxBytes(bytes); }
    std::size_t heldBytes() const { return this->memory->total(); }
    std::size_t openRequests() const { return this->requests.size(); }

private:
    /** An attempt in progress or its answer. */
    struct Attempt {
        std::shared_ptr<HttpExchange> exchange; // null: the attempt has ended
        std::string backendServer;
        Milliseconds sentAt;
        std::optional<HttpResponse> response; // without its body if that is passed on while it comes
        std::optional<std::uint64_t> bodyLength; // of a response whose body follows
        bool isPassedOn = false; // the caller gets the answer while it comes
        std::uint64_t passedOnBytes = 0; // of the body
    };

    /** A request whose caller waits for an answer. */
    struct Request {
        std::shared_ptr<HttpSession> session; // kept also while nothing is read from the caller
        HttpRequestNumber sessionRequest = 0; // its number within the session
        HttpRequest message; // without its body
        std::shared_ptr<const HttpBody> body; // shared by all attempts
        std::string requestId;
        Milliseconds arrivedAt;
        Milliseconds callerSeenAt; // when the caller was last known to wait
        Milliseconds atBackendServer; // duration of the attempt that ended last
        std::map<AttemptNumber, Attempt> attempts;
    };

    void requestReceived(const std::shared_ptr<HttpSession>& session, ReceivedRequest request) override;
    void requestUnreadable(
        const std::shared_ptr<HttpSession>& session, HttpRequestNumber request, HttpRequestProblem problem) override;
    bool mayStartEarly(const HttpRequest& request) const override;
    void callerGone(const std::shared_ptr<HttpSession>& session) override;
    void answersTaken(const std::shared_ptr<HttpSession>& session) override;
    void sessionRefused() override;

    /** Called for the header of each answer to a request or probe sent at sentAt, even if the answer is unusable. */
    void answerHeaderReceived(
        const std::string& backendServer, std::uint64_t life, Milliseconds sentAt, const HttpResponse& header);
    /** Ends the request and returns true if its caller left. Looks at most once in callerCheckInterval. */
    bool endIfCallerLeft(Request& request) const;
    HttpRequest makeForwardedRequest(const Request& request, const SendAttempt& action) const;
    /** Asks Node whether the answer of which a part has come is passed on to the caller. */
    bool passOn(
        RequestNumber number, AttemptNumber attempt, const HttpResponse& header, std::optional<std::uint64_t> length);
    void passBody(RequestNumber number, AttemptNumber attempt, HttpBody piece);
    /** Goes on reading an answer whose caller has taken enough of it. */
    void resumeAnswer(const Request& request) const;
    /** True while an answer for this caller is not read from its server, so that others find room. */
    bool mustWaitForCaller(const HttpSession& session) const;
    void attemptEnded(RequestNumber number, AttemptNumber attempt, HttpExchangeEnd end);
    AttemptEnd attemptEndOf(const HttpExchangeEnd& end, const std::string& backendServer) const;
    void probeEnded(const SendProbe& action, bool wasKept, HttpExchangeEnd end);
    void startProbe(const SendProbe& action, std::shared_ptr<HttpConnection> kept);
    void checkThroughRelay(const CheckServer& action);
    void returnConnection(const std::string& backendServer, HttpExchangeEnd& end);
    void sendAnswer(RequestNumber number, HttpResponse response);
    /** Forgets a request that is answered, and returns it. */
    Request removeRequest(RequestNumber number);
    void removeFromSession(std::uint64_t session, RequestNumber number);

    asio::io_context* context;
    Options options;
    Dependencies dependencies;
    HttpListener listener;
    Timer acceptTimer;
    HttpConnectionPool connections;
    std::shared_ptr<MemoryBound> memory;
    UnreadFields unreadFields;
    std::unordered_map<RequestNumber, Request> requests;
    std::unordered_multimap<std::uint64_t, RequestNumber> requestsBySession;
    RequestNumber lastNumber = 0;
};

}
