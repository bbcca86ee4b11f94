#pragma once

#include "Base/Clock.h"
#include "Base/NetworkAddress.h"
#include "Node/Actions.h"
#include "Traffic/CallerExchange.h"

#include <atomic>
#include <httplib.h>

namespace burlreach {

/** How an exchange with a backend server ended, with the whole answer if any. */
struct BackendExchange {
    AttemptEnd end;
    CallerAnswer answer;
    bool isClean = false; // the connection may be used again
};

/** One connection to a backend server, used for one request at a time. */
class BackendConnection {
public:
    explicit BackendConnection(const NetworkAddress& address);

    /** Times by which a request must be sent, and for which a silent answer is awaited. */
    struct Patience {
        Milliseconds sendBy;
        Milliseconds silence;
    };

    BackendExchange send(
        const CallerRequest& request, const SendAttempt& attempt, const Clock& clock, Patience patience);
    /** Ends the exchange under way from another thread. */
    void cancel();
    /** False when the other side closed it or sent something unasked. */
    bool isQuiet() const;

private:
    httplib::Request compose(const CallerRequest& request, const SendAttempt& attempt) const;
    BackendExchange judge(const httplib::Result& result, const SendAttempt& attempt, const std::string& method) const;

    httplib::Client client;
    std::atomic<bool> cancelled{ false };
};

}
