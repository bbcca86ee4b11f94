#pragma once

#include "Base/Clock.h"
#include "Http/HttpConnection.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace burlreach {

/**
 * Idle connections, grouped by server. A connection is reused only if nothing
 * has arrived on it and it was idle for less than a share of the server's
 * keep-alive time, so that the server is unlikely to close it at that moment.
 *
 * A request never gets a connection that has carried its id: a surplus copy of
 * the earlier answer may still arrive there, and only the id tells which request
 * an answer belongs to.
 */
class HttpConnectionPool {
public:
    struct Options {
        std::size_t maxIdlePerServer = 4;
        double reusableShare = 0.7; // of the server's keep-alive time, during which a connection is reused
        std::size_t maxExchanges = 256; // after which a connection is closed; bounds the ids that it remembers
    };

    /** What a request needs of a kept connection. */
    struct Need {
        Milliseconds longestIdle = Never;
        std::string_view requestId; // the connection must not have carried it; empty: any connection
    };

    HttpConnectionPool(Options options, const Clock& clock);

    /** Returns the most recently used connection that meets the need; null if there is none. */
    std::shared_ptr<HttpConnection> take(const std::string& server, const Need& need);
    /** Adds an idle connection, unless it is used up. If the server then has too many, the oldest one is closed. */
    void add(const std::string& server, std::shared_ptr<HttpConnection> connection);
    void closeAll(const std::string& server) { this->idle.erase(server); }
    /** Closes connections that were idle for too long to be reused; to be called about once a second. */
    void closeExpired();
    std::size_t size() const;

private:
    bool isUsable(const HttpConnection& connection) const;

    Options options;
    const Clock* clock;
    std::unordered_map<std::string, std::vector<std::shared_ptr<HttpConnection>>> idle;
};

}
