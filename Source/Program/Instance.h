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
#include "Program/DecisionLog.h"
#include "Program/Dialect.h"
#include "Program/SettingsFile.h"
#include "Program/StopLimit.h"
#include "Program/StopSequence.h"
#include "Program/StopWaits.h"
#include "Program/TrafficThread.h"
#include "Settings/Settings.h"
#include "StoreClient/HttpStoreClient.h"
#include "Timers/Timer.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <system_error>

namespace burlreach {

/**
 * One running instance. The Node makes the decisions; it is guarded by a mutex
 * that is never held during I/O. Two threads post events to it and execute the
 * actions that it returns: the control thread (store, other instances, signals)
 * and the traffic thread (requests).
 */
class Instance final : private EventSink, private InstanceReader, private RepeatLookup, private PeerMessageHandler {
public:
    Instance(const Settings& settings, SettingsFile file, Dialect dialect);

    /** Runs until a planned stop is complete. */
    std::error_code run();

private:
    void post(const Event& event) override;
    /** Records how long the node took to handle an event, and logs it when that was long. */
    void noteTurn(const Event& event, Milliseconds took);
    /** Logs that the control thread handled a timer long after it was due. */
    void noteDelay(Milliseconds delay);
    void peerMessageReceived(peers::PeerMessage message) override;
    v1::Configuration configurationInForce() const override;
    v1::ShowLoadAnswer showLoad(const std::string& service) const override;
    v1::ShowCountersAnswer showCounters() const override;
    v1::ShowCrashingRequestsAnswer showCrashingRequests() const override;
    v1::ShowRolloutAnswer showRollout(const std::string& service) const override;
    v1::ShowCustomerAnswer showCustomer(const std::string& customer) const override;
    v1::ShowQuotasAnswer showQuotas() const override;
    bool isReady() const override;
    bool mayRepeat(std::string_view host, std::string_view method, std::string_view path) const override;
    std::string metricsText() const override;

    template <typename TrafficAction>
    void execute(const TrafficAction& action)
    {
        this->traffic.run([this, action] { this->traffic.requestDesk().execute(action); });
    }
    void execute(const AnswerRelay& action);
    void execute(const SendToPeer& action);
    void execute(const CallStore& action);
    void execute(const TranslateItem& action);
    void execute(const AnswerChange& action) { this->operators.execute(action); }
    void execute(const AnswerInForce& action) { this->operators.execute(action); }
    void execute(const DecisionRecord& record) { this->decisions.write(record); }

    std::error_code start();
    void listenFailed(std::string_view place, const NetworkAddress& address, const std::error_code& error) const;
    void awaitSignal();
    void signalled(int signal);
    void wakeControlAt(Milliseconds due);
    void scheduleTending();
    void tend();
    void reload(std::string_view cause);
    void beginStop();
    void advanceStop();
    void closeConnections();

    Settings settings;
    SettingsFile file;
    Dialect dialect;
    Logger log;
    SteadyClock clock;
    TrafficMetrics metrics;
    DecisionLog decisions;
    mutable std::mutex mutex;
    Node node;
    asio::io_context context;
    asio::signal_set signals;
    Timer controlTimer;
    Timer tendingTimer;
    Milliseconds controlWakesAt = Never;
    PeerClient peerClient;
    PeerServer peerServer;
    HttpStoreClient storeClient;
    TrafficThread traffic;
    OperatorServer operators;
    StopSequence stop;
    std::atomic<std::uint64_t> countedLook{ 0 }; // StopSequence::look() of the last count of unfinished work
    StopWaits stopWaits;
    unsigned tendings = 0;
    StopLimit stopLimit; // in force until stopLogging() has returned
};

}
