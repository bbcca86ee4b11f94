#pragma once

#include "Base/SteadyClock.h"
#include "Logging/Logger.h"
#include "Metrics/TrafficMetrics.h"
#include "Node/EventSink.h"
#include "Node/Node.h"
#include "Operators/InstanceReader.h"
#include "Operators/OperatorServer.h"
#include "Peers/PeerClient.h"
#include "Peers/PeerMessageHandler.h"
#include "Peers/PeerServer.h"
#include "Platform/PlatformClient.h"
#include "Settings/Settings.h"
#include "Traffic/CallerServer.h"
#include "Traffic/RequestRunner.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <mutex>
#include <system_error>

namespace burlreach {

/**
 * One running instance: the decisions, guarded by a mutex that is never held
 * over any input or output, and around them the control thread and the threads
 * of traffic that feed them events and carry their actions out.
 */
class Instance final : private EventSink, private InstanceReader, private PeerMessageHandler, private PlatformAdviser {
public:
    explicit Instance(const Settings& settings);

    /** Runs until a planned stop has ended. */
    std::error_code run();

private:
    /** The steps of a planned stop. */
    enum class StopStep {
        None,
        Announced, // not ready any more; new requests are still served
        Draining // no new connections; requests in flight end
    };

    void post(const Event& event) override;
    void peerMessageReceived(peers::PeerMessage message) override;
    PlatformPlan platformPlan() const override;
    std::vector<std::string> serviceNames() const override;
    v1::Configuration configurationInForce() const override;
    v1::ShowLoadAnswer showLoad(const std::string& service) const override;
    v1::ShowCountersAnswer showCounters() const override;
    bool isReady() const override;
    std::string metricsText() const override;

    void execute(const Action& action);
    void execute(const SendToPeer& action);
    void execute(const AskStore& action);

    std::error_code start();
    void awaitSignal();
    void scheduleTick();
    void tick();
    void tendSlowly();
    void beginStop();
    void advanceStop();
    /** Logs what has changed since the last look. */
    void noteChanges();
    void noteReadiness();

    Settings settings;
    Logger log;
    Logger configurationLog;
    Logger membershipLog;
    SteadyClock clock;
    TrafficMetrics metrics;
    mutable std::mutex mutex;
    Node node;
    asio::io_context context;
    asio::signal_set signals;
    asio::steady_timer timer;
    PeerClient peerClient;
    PeerServer peerServer;
    PlatformClient platform;
    RequestRunner runner;
    CallerServer callers;
    OperatorServer operators;
    StopStep stopStep = StopStep::None;
    Milliseconds stopBegan;
    Milliseconds nextTending = LongAgo;
    bool wasReady = false;
    std::uint32_t notedRevision = 0;
    std::uint32_t notedEpoch = 0;
};

}
