#pragma once

#include "Configuration/NativeItemTranslator.h"
#include "Node/Node.h"
#include "Tests/Virtual/VirtualBackendServer.h"
#include "Tests/Virtual/VirtualCaller.h"
#include "Tests/Virtual/VirtualStore.h"
#include "Tests/Virtual/VirtualTime.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace burlreach {

/** Record of a request sent to a backend server. */
struct SentAttempt {
    std::size_t instance = 0;
    std::uint64_t life = 0; // of the instance
    std::string requestId;
    std::string customer; // as sent to the backend server
    std::string backendServer;
    Milliseconds at;
    bool isListening = false; // a process listened at the address
    bool crashesServers = false;
};

/** Record of a request that reached a backend server. */
struct ArrivedAttempt {
    std::string requestId;
    Milliseconds at;
};

/** Record of a probe sent to a backend server. */
struct SentProbe {
    std::size_t instance = 0;
    std::uint64_t life = 0; // of the instance
    std::string backendServer;
    Milliseconds at;
};

/** Record of a backend server's notice that was delivered to an instance's Node. */
struct HeardNotice {
    std::size_t instance = 0;
    std::uint64_t life = 0; // of the instance
    std::string backendServer;
    ServerNotice notice;
    Milliseconds at;
};

/** What happens to the connections of an instance to backend servers that a network failure cuts it off from. */
enum class ServerCut {
    None,
    Silent, // packets are lost in both directions
    OneWay, // packets from the servers are lost
    Reset, // open connections are reset and new ones refused
    NewRefused, // open connections live on, new ones are refused
    NewSilent // open connections live on, new ones are never established
};

/** A request as a caller sends it. */
struct VirtualRequest {
    std::string host = "bookings.example";
    std::string method = "GET";
    std::string path = "/a";
    std::string caller = "10.0.2.1";
    std::string body;
    std::string key; // the caller's own key for the request; empty: none
    Milliseconds timeLeft{ 2000 };
    std::string kind; // label that the test chose to tell requests apart
    bool crashesServers = false;
};

/**
 * The processor time that an instance spends, on a whole processor. An instance with a share of one takes accordingly
 * longer, handles its events one after another, and its actions take effect when it is done.
 */
struct ProcessorCost {
    Milliseconds event; // for each event, whatever it is
    Milliseconds message; // for each message to another instance
    Milliseconds kilobyte; // for each kilobyte of a message received or sent
    Milliseconds packing; // for each list of changes that is collected and compressed
    Milliseconds shareCheck; // for each instance looked at in a search for holders of credit shares
};

/**
 * Several instances in virtual time, with fake callers, backend servers, and store. They run the same Node class as
 * the daemon; scheduled tasks replace sockets and threads.
 */
class VirtualFleet {
public:
    struct Options {
        std::size_t instances = 3;
        std::size_t seedInstances = 3; // the first instances, which every instance has as its seeds
        std::uint64_t seed = 1;
        Milliseconds toPeer{ 1 };
        Milliseconds toServer{ 1 };
        Milliseconds connectTimeout{ 250 };
        RetryLimits retries{ .share = 0.2, .slack = 64, .window = { 10000 } };
        double probesPerSecond = 60;
        std::shared_ptr<const PolicyFactory> policies;
        RequestFlow::Options requests;
        VirtualStore::Options store;
        std::shared_ptr<const StoreItemTranslator> translator; // null: the native form of store items
        /** Bandwidth of each instance in each direction; messages are sent one after another. 0: unlimited. */
        double linkBytesPerMillisecond = 0;
        Milliseconds translation{ 5 }; // time that the translation of a large item takes
        /** Capacity of the instances that are not strong, in percent of a processor. 0: unknown to them. */
        std::uint32_t weakCapacity = 0;
        std::size_t strongInstances = 0; // the first instances, which have faster links and processors
        /** Processor time of the events of every instance; nothing: events take no time. */
        std::optional<ProcessorCost> processor;
    };

    /** Called before and after each event and action of an instance, so that tests can inject faults there. */
    using Observer = std::function<void(std::size_t instance, std::string_view step)>;
    using CallerEnded = std::function<void(const VirtualCaller& caller)>;

    explicit VirtualFleet(const Options& options);

    void addServer(const VirtualBackendServer::Options& options);
    VirtualBackendServer& server(const std::string& id) { return *this->servers.at(id); }
    const VirtualBackendServer& server(const std::string& id) const { return *this->servers.at(id); }
    std::vector<std::string> serverIds() const;

    /** Writes the configuration to the store, as after an operator's change; returns its revision. */
    StoreRevision configure(const v1::Configuration& configuration);
    void start(std::size_t instance);
    void startAll();
    void kill(std::size_t instance);
    /** Suspends the instance until wake(); events that arrive meanwhile are held back for it. */
    void freeze(std::size_t instance);
    void wake(std::size_t instance);
    void askToStop(std::size_t instance);
    /** A planned stop of a process that ends at a fixed time: the times are counted from now. */
    struct PlannedStop {
        Milliseconds noticedBy; // until then callers cannot know of the stop
        Milliseconds answersDue;
        Milliseconds end;
    };
    void stop(std::size_t instance, const PlannedStop& planned);
    void cutFromPeers(std::size_t instance, bool cut);
    /** Cuts the instance off from these backend servers, or from all if none is named; None heals the cut. */
    void cutFromServers(std::size_t instance, ServerCut cut, const std::set<std::string>& servers = {});
    /** Partitions the fleet: instances of different sides do not receive each other's messages. */
    void setSide(std::size_t instance, std::size_t side);

    /** Sends a request; returns the caller's number. */
    std::uint64_t send(std::size_t instance, const std::string& host, const std::string& method,
        const std::string& path, Milliseconds timeLeft, const std::string& kind = {});
    std::uint64_t send(std::size_t instance, const VirtualRequest& request);
    using RequestFor = std::function<VirtualRequest(std::size_t instance)>;

    /** Sends a request from the function at this interval, to the instances in turn. */
    void repeat(const RequestFor& requestFor, Milliseconds every);
    void leave(std::uint64_t caller);

    void run(Milliseconds span) { this->time.runUntil(this->time.now() + span); }
    Milliseconds now() const { return this->time.now(); }
    VirtualTime& clock() { return this->time; }
    VirtualStore& theStore() { return this->store; }
    Node& node(std::size_t instance) { return *this->nodes.at(instance).node; }
    bool isAlive(std::size_t instance) const { return this->nodes.at(instance).node != nullptr; }
    std::size_t size() const { return this->nodes.size(); }
    const std::map<std::uint64_t, VirtualCaller>& callers() const { return this->callerList; }
    const std::vector<SentAttempt>& sentAttempts() const { return this->sent; }
    const std::vector<ArrivedAttempt>& arrivedAttempts() const { return this->arrived; }
    const std::vector<HeardNotice>& heardNotices() const { return this->noticeList; }
    std::size_t peerMessages() const { return this->peerMessageCount; }
    /** How long an event of this instance waited at most, since the last reset, until the instance could handle it. */
    Milliseconds longestWait(std::size_t instance) const { return this->nodes.at(instance).longestWait; }
    void resetWaits();
    std::size_t peerBytes() const { return this->peerByteCount; }
    std::size_t probes() const { return this->probeList.size(); }
    const std::vector<SentProbe>& sentProbes() const { return this->probeList; }
    /** The number of messages sent by the busiest instance since the last reset. */
    std::size_t mostMessagesOfOne() const;
    void resetMessagesOf() { this->messagesOf.assign(this->nodes.size(), 0); }
    void observe(Observer next) { this->observer = std::move(next); }
    /** Sets what is called when a caller's request has ended, with or without a final answer. */
    void whenCallerEnds(CallerEnded next) { this->callerEnded = std::move(next); }

private:
    /** An event that waits until its instance has handled the earlier ones. */
    struct WaitingEvent {
        Event event;
        Milliseconds since;
    };

    /** The state of one instance, running or not. */
    struct Place {
        std::unique_ptr<Node> node;
        std::uint64_t life = 0;
        bool isFrozen = false;
        bool isCut = false; // no messages to or from other instances
        ServerCut serverCut = ServerCut::None;
        std::set<std::string> cutServers; // empty: all of them, if there is a cut
        std::size_t side = 0; // partition to which the instance belongs
        Milliseconds changedAt = LongAgo; // last start, suspension, or change of its network paths
        Milliseconds resumedAt = LongAgo; // end of the last suspension
        Milliseconds requestTimer = Never;
        Milliseconds controlTimer = Never;
        std::vector<Event> held; // events that arrived while the instance was suspended
        std::deque<WaitingEvent> waiting; // only with processor time
        bool isBusy = false; // an event is being handled
        Milliseconds longestWait;
        Milliseconds sendsUntil = LongAgo; // the outgoing link is busy until then
        Milliseconds receivesUntil = LongAgo; // the incoming link is busy until then
    };

    /** Called with the outcome of a connection and the instance from which it reaches the server. */
    using Connected = std::function<void(ConnectOutcome outcome, std::size_t via)>;

    /** An attempt or probe on an open connection. */
    struct OpenAttempt {
        std::size_t from = 0; // the instance that sends it
        std::size_t via = 0; // the instance that relays it; otherwise the same
        std::uint64_t life = 0; // of the instance that sends it
        Milliseconds sentAt;
    };

    /** Opens a connection from the instance to a server, directly or through a relay. */
    void connect(std::size_t instance, const std::string& serverId, const NetworkAddress& address,
        const std::optional<NetworkAddress>& relay, const Connected& done);
    void sendOn(const OpenAttempt& open, const SendAttempt& action);
    /** Ends the attempts on connections that this instance relays, as its end does. */
    void endRelayed(std::size_t instance);
    void probeFrom(const OpenAttempt& open, const SendProbe& action);
    NetworkAddress addressOf(std::size_t instance) const;
    std::string nameOf(std::size_t instance) const;
    void deliver(std::size_t instance, std::uint64_t life, const Event& event);
    void handle(std::size_t instance, const Event& event);
    /** Lets the node decide about the event. */
    Actions decide(std::size_t instance, const Event& event);
    /** Executes the actions and sets the timers of this life of the instance, if it still runs. */
    void perform(std::size_t instance, std::uint64_t life, const Actions& actions);
    /** Begins the instance's next waiting event, if there is one; it ends when its processor time has passed. */
    void beginNextEvent(std::size_t instance);
    Milliseconds processorTime(
        std::size_t instance, const Event& event, const Actions& actions, const DecisionCounters& before) const;
    void planTimers(std::size_t instance);
    void tell(std::size_t instance, std::string_view step) const;

    void execute(std::size_t instance, const SendAttempt& action);
    void execute(std::size_t instance, const CancelAttempt& action);
    void execute(std::size_t, const BeginAnswer&) { } // servers answer at once
    void execute(std::size_t instance, const ForwardAnswer& action);
    void execute(std::size_t instance, const RefuseRequest& action);
    void execute(std::size_t instance, const SendProbe& action);
    void execute(std::size_t instance, const CheckServer& action);
    void execute(std::size_t instance, const AnswerRelay& action);
    void execute(std::size_t instance, const SendToPeer& action);
    void execute(std::size_t instance, const CallStore& action);
    void execute(std::size_t instance, const TranslateItem& action);
    void execute(std::size_t, const StopSendingTo&) { }
    void execute(std::size_t, const SetCallerLimits&) { }
    void execute(std::size_t, const AnswerChange&) { }
    void execute(std::size_t, const AnswerInForce&) { }
    void execute(std::size_t, const DecisionRecord&) { }

    bool isStrong(std::size_t instance) const { return instance < this->options.strongInstances; }
    /** The time at which this many bytes have passed the link; marks the link as busy until then. */
    Milliseconds throughLink(std::size_t instance, Milliseconds& busyUntil, std::size_t bytes) const;
    /** Delivers the event once all its bytes have passed the receiver's link. */
    void receive(std::size_t instance, std::uint64_t life, std::size_t bytes, const Event& event);
    void attemptEnded(std::size_t instance, std::uint64_t life, const SendAttempt& action, Milliseconds sentAt,
        const ServerWord& word);
    void tellNotice(std::size_t instance, std::uint64_t life, const ServerNoticed& noticed);
    void endCaller(std::uint64_t number, CallerOutcome outcome);
    VirtualBackendServer* serverAt(const NetworkAddress& address);
    ServerCut cutBetween(std::size_t instance, const VirtualBackendServer* server) const;
    /**
     * True when the instance or another one that it reaches has reached a server of the host's service for longer than
     * lost paths may take to be found. Changes of the configuration excuse for the same time.
     */
    bool couldBeServed(std::size_t instance, const std::string& host) const;
    /** True if the instance runs, and has run with the same network paths for longer than that. */
    bool isSettled(std::size_t instance) const;
    bool isPeerCut(std::size_t instance, std::size_t other) const;
    /** How a new connection from the instance to the server ends; null: nothing has the address. */
    ConnectOutcome connectOutcome(std::size_t instance, const VirtualBackendServer* server) const;
    Milliseconds connectTime(ConnectOutcome outcome) const;

    Options options;
    VirtualTime time;
    VirtualStore store;
    std::vector<Place> nodes;
    std::map<std::string, std::size_t> byAddress; // index of the instance
    std::map<std::string, std::unique_ptr<VirtualBackendServer>> servers;
    std::map<std::uint64_t, VirtualCaller> callerList;
    std::map<std::pair<std::size_t, AttemptNumber>, std::string> answers; // request id, by instance and attempt
    std::map<AttemptNumber, AttemptResult> answerResults;
    std::vector<SentAttempt> sent;
    std::vector<ArrivedAttempt> arrived;
    std::uint64_t lastCaller = 0;
    std::size_t repeats = 0;
    std::size_t peerMessageCount = 0;
    std::size_t peerByteCount = 0;
    std::vector<SentProbe> probeList;
    std::vector<HeardNotice> noticeList;
    std::vector<std::size_t> messagesOf; // number of messages, by instance
    std::map<std::string, std::set<std::string>> serversOfHost; // that the latest configuration uses
    Milliseconds configuredAt = LongAgo;
    /** An attempt on a connection through another instance. */
    struct RelayedAttempt {
        OpenAttempt open;
        SendAttempt action;
    };

    std::map<AttemptNumber, RelayedAttempt> relayedAttempts; // under way, by attemptAt()
    RelayNumber lastRelay = 0;
    std::map<RelayNumber, std::function<void(const AnswerRelay&)>> relays; // asked for and not yet answered
    std::set<AttemptNumber> cancelled; // by the instances; a connection opened later is not used
    Observer observer;
    CallerEnded callerEnded;
};

/** The address that the fleet assigns to the backend server with this id. */
NetworkAddress virtualAddress(const std::string& serverId);

/** A configuration with one service that all of these backend servers provide. */
v1::Configuration virtualConfiguration(
    const std::vector<std::string>& serverIds, std::uint32_t revision, const std::string& service = "bookings");

}
