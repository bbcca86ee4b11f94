#pragma once

#include "Json.h"
#include "Sockets.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/**
 * Stands in for the platform's store as PROTOCOL.md describes it: /kv-range, /kv-watch and /kv-txn, without pages (few
 * items) and without leases, which the project does not use. Linearizable, forgets nothing and is never disturbed.
 */
class PlatformStore {
public:
    PlatformStore();

    const Address& address() const { return this->listenAddress; }
    /** Writes an item as the operator or a backend server would. */
    void put(const std::string& key, const std::string& value);

private:
    /** A call with its path, its query and its body. */
    struct Call {
        std::string path;
        std::map<std::string, std::string> query;
        Json body;
    };

    struct Reply {
        int status = 0;
        std::string body;
    };

    struct Item {
        std::string value; // in base64
        std::uint64_t revision = 0;
        std::uint64_t made = 0;
    };

    struct Event {
        std::uint64_t revision = 0;
        std::string key;
        std::string json;
    };

    void acceptAll(int listener);
    void serve(int connection);
    Reply handle(const Call& call);
    Reply range(const Call& call);
    Reply watch(const Call& call);
    Reply change(const Call& call);
    void write(const std::string& key, const std::string& encodedValue);
    static std::string describe(const std::string& key, const Item& item);
    std::string eventsAfter(std::uint64_t after, const std::string& prefix) const;

    Address listenAddress{ .host = "127.0.0.1", .port = 0 };
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::vector<Event> history;
    std::uint64_t revision = 0;
};

}
