#pragma once

#include "Base/Clock.h"
#include "Node/Actions.h"
#include "Traffic/BackendConnections.h"
#include "Traffic/CallerExchange.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>
#include <vector>

namespace burlreach {

/** The caller left; there is nobody to answer. */
struct NobodyToAnswer { };

/** How a request ended: with an attempt's answer, refused, or unasked for. */
using RequestEnding = std::variant<PassAnswer, RefuseRequest, NobodyToAnswer>;

/**
 * One request between the thread of its connection, which waits here, and the
 * decisions. The thread runs the first attempt itself; a hedge that comes
 * while it is busy is run by another thread.
 */
class RequestSession {
public:
    RequestSession(RequestNumber number, CallerRequest request, const Clock& clock);

    /** True when the waiting thread will run it; else the caller of this must. */
    bool offer(const SendAttempt& attempt);
    void cancel(AttemptNumber attempt);
    void end(const RequestEnding& ending);

    /** Waits for an attempt to run or the ending; nothing means it has ended. */
    std::optional<SendAttempt> next();
    /** Runs an attempt to its end and keeps its answer. */
    AttemptEnd run(const SendAttempt& attempt, BackendConnections& connections);

    /** After the ending only. */
    const RequestEnding& ending() const { return *this->finalEnding; }
    CallerAnswer takeAnswer(AttemptNumber attempt);

    RequestNumber number() const { return this->requestNumber; }
    socket_t callerSocket() const { return this->request.socket; }
    Milliseconds waited() const;
    Milliseconds atBackendServer() const;

private:
    struct Attempt {
        AttemptNumber number = 0;
        bool cancelled = false;
        std::shared_ptr<BackendConnection> connection;
        CallerAnswer answer;
    };

    Attempt& attemptOf(AttemptNumber number);

    RequestNumber requestNumber;
    CallerRequest request;
    const Clock* clock;
    mutable std::mutex mutex;
    std::condition_variable changed;
    bool isBusy = false; // the waiting thread runs an attempt
    std::deque<SendAttempt> offered;
    std::deque<Attempt> attempts;
    std::optional<RequestEnding> finalEnding;
    Milliseconds waitedTime;
    Milliseconds backendTime;
};

}
