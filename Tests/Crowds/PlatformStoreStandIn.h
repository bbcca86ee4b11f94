#pragma once

#include "Base/NetworkAddress.h"

#include <condition_variable>
#include <cstdint>
#include <httplib.h>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace burlreach {

/**
 * Stands in for the store of the users' platform: ranges, watches and transactions on a few items, without pages,
 * leases or faults. Listens on the loopback interface on threads of its own.
 */
class PlatformStoreStandIn {
public:
    PlatformStoreStandIn();
    ~PlatformStoreStandIn();
    PlatformStoreStandIn(const PlatformStoreStandIn&) = delete;
    PlatformStoreStandIn& operator=(const PlatformStoreStandIn&) = delete;

    NetworkAddress address() const { return { .host = "127.0.0.1", .port = this->port }; }
    /** Writes an item as the operator or a backend server would. */
    void put(const std::string& key, const std::string& value);
    /** The number of watches that have asked for changes after all that was written so far. */
    std::size_t watchesPastAll();

private:
    struct Item {
        std::string value; // in base64
        std::uint64_t revision = 0;
    };

    void range(const httplib::Request& request, httplib::Response& response);
    void watch(const httplib::Request& request, httplib::Response& response);
    void change(const httplib::Request& request, httplib::Response& response);
    void write(const std::string& key, const std::string& encodedValue);
    /** The items with this prefix that changed after this revision, as a JSON list. */
    std::string itemsAfter(std::uint64_t after, const std::string& prefix) const;

    httplib::Server server;
    std::uint16_t port = 0;
    std::mutex mutex;
    std::condition_variable changed;
    bool isEnding = false;
    std::map<std::string, Item> items;
    std::uint64_t revision = 0;
    std::size_t upToDateWatches = 0; // since the last change
    std::thread thread;
};

}
