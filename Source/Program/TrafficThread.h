#pragma once

#include "Base/Clock.h"
#include "Operators/InstanceReader.h"
#include "Program/ReadinessPages.h"
#include "Settings/Settings.h"
#include "Timers/Timer.h"
#include "Traffic/RelayServer.h"
#include "Traffic/RequestForwarder.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <functional>
#include <system_error>
#include <thread>

namespace burlreach {

/** The thread that forwards requests, and the timer for the node's decisions on them. */
class TrafficThread {
public:
    struct Dependencies {
        const TrafficDialect* dialect = nullptr;
        const Clock* clock = nullptr;
        EventSink* sink = nullptr;
        const RepeatLookup* repeats = nullptr;
        TrafficMetrics* metrics = nullptr;
        const InstanceReader* reader = nullptr;
    };

    TrafficThread(const Settings& settings, Dependencies parts);
    ~TrafficThread();
    TrafficThread(const TrafficThread&) = delete;
    TrafficThread& operator=(const TrafficThread&) = delete;

    std::error_code start();
    void stop();

    /** Runs the task on this thread; immediately when called from it. */
    void run(std::function<void()> task);
    RequestForwarder& requestDesk() { return this->forwarder; }
    RelayServer& relayServer() { return this->relays; }
    ReadinessPages& readinessPages() { return this->readiness; }
    /** Posts a RequestTimer event at this time. Call it on this thread only. */
    void wakeAt(Milliseconds due);

private:
    void scheduleTending();
    /** Sets the bound on held bytes to what the machine's memory leaves beside all else that the process uses. */
    void boundMemory();

    std::size_t machineBytes; // memory of the machine
    NetworkAddress readinessAddress;
    NetworkAddress relayAddress;
    Dependencies dependencies;
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    Timer timer;
    Timer tending;
    RequestForwarder forwarder;
    RelayServer relays;
    ReadinessPages readiness;
    Milliseconds wakesAt = Never;
    std::thread thread;
};

}
