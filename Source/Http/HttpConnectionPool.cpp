#include "Http/HttpConnectionPool.h"

#include <algorithm>
#include <utility>

namespace burlreach {

HttpConnectionPool::HttpConnectionPool(Options givenOptions, const Clock& givenClock)
    : options(givenOptions)
    , clock(&givenClock)
{
}

bool HttpConnectionPool::isUsable(const HttpConnection& connection) const
{
    return this->clock->now() - connection.lastUsed <= connection.keepAliveTimeout * this->options.reusableShare;
}

std::shared_ptr<HttpConnection> HttpConnectionPool::take(const std::string& server, const Need& need)
{
    const auto found = this->idle.find(server);
    if (found == this->idle.end())
        return nullptr;
    auto& connections = found->second;
    for (std::size_t index = connections.size(); index-- > 0;) {
        if (this->clock->now() - connections[index]->lastUsed > need.longestIdle)
            return nullptr; // the others have been idle even longer
        if (connections[index]->hasCarried(need.requestId))
            continue;
        std::shared_ptr<HttpConnection> connection = std::move(connections[index]);
        connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(index));
        if (this->isUsable(*connection) && isOpenAndSilent(*connection))
            return connection;
    }
    return nullptr;
}

void HttpConnectionPool::add(const std::string& server, std::shared_ptr<HttpConnection> connection)
{
    if (connection->exchanges >= this->options.maxExchanges)
        return;
    auto& connections = this->idle[server];
    connection->lastUsed = this->clock->now();
    connections.push_back(std::move(connection));
    if (connections.size() > this->options.maxIdlePerServer)
        connections.erase(connections.begin());
}

void HttpConnectionPool::closeExpired()
{
    for (auto& [server, connections] : this->idle)
        std::erase_if(connections, [this](const auto& connection) { return !this->isUsable(*connection); });
    std::erase_if(this->idle, [](const auto& item) { return item.second.empty(); });
}

std::size_t HttpConnectionPool::size() const
{
    std::size_t sum = 0;
    for (const auto& [server, connections] : this->idle)
        sum += connections.size();
    return sum;
}

}
