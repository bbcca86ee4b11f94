#pragma once

#include "Logging/Logger.h"
#include "Metrics/TrafficMetrics.h"
#include "Node/EventSink.h"
#include "Node/FleetControl.h"
#include "Platform/PlatformConnection.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace burlreach {

/** Tells the platform threads what the decisions want of them. */
class PlatformAdviser {
public:
    virtual ~PlatformAdviser() = default;
    virtual PlatformPlan platformPlan() const = 0;
    virtual std::vector<std::string> serviceNames() const = 0;
};

/**
 * The threads that talk to the platform's service: one for calls, one watching
 * each document, one reading the lists. None of them is waited for.
 */
class PlatformClient {
public:
    PlatformClient(PlatformOptions options, const PlatformAdviser& adviser, EventSink& sink, TrafficMetrics& metrics);
    ~PlatformClient();
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    void start();
    void stop();
    void call(const StoreRequest& request);

private:
    void runCalls();
    void runWatch(StoreDocument document, PlatformConnection& connection);
    void runLists();
    void readBackendServers();
    /** False when the client is stopping. */
    bool pause(Milliseconds time);
    void noteAnswer(bool answered);

    PlatformOptions options;
    const PlatformAdviser* adviser;
    EventSink* sink;
    TrafficMetrics* metrics;
    Logger log;
    PlatformConnection callConnection;
    PlatformConnection configurationConnection;
    PlatformConnection ownershipConnection;
    PlatformConnection listConnection;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<StoreRequest> calls;
    bool stopping = false;
    bool reachable = true;
    std::set<std::string, std::less<>> listedLeaving;
    std::vector<std::thread> threads;
};

}
