#pragma once

#include "Base/Clock.h"
#include "Http/HttpConnection.h"

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace burlreach {

/**
 * Idle connections by the server they lead to. A connection is only given out
 * while it is young enough not to be closed by the server at the same moment,
 * and when nothing has arrived on it meanwhile.
 */
class HttpConnectionPool {
public:
    struct Options {
        std::size_t idlePerServer = 4;
        double usedShare = 0.7; // of the time that the server keeps a connection
    };

    HttpConnectionPool(Options options, const Clock& clock);

    /** The latest used one that was idle for no longer than this; null when there is none. */
    std::shared_ptr<HttpConnection> take(const std::string& server, Milliseconds longestIdle);
    void give(const std::string& server, std::shared_ptr<HttpConnection> connection);
    void closeAll(const std::string& server) { this->idle.erase(server); }
    /** Closes those that are too old; to be called about once a second. */
    void tend();
    std::size_t size() const;

private:
    bool isUsable(const HttpConnection& connection) const;

    Options options;
    const Clock* clock;
    std::unordered_map<std::string, std::vector<std::shared_ptr<HttpConnection>>> idle;
};

}
