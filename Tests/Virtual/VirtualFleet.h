#pragma once

#include "Node/Node.h"
#include "Tests/Virtual/Step.h"
#include "Tests/Virtual/VirtualBackendServer.h"
#include "Tests/Virtual/VirtualStore.h"
#include "Tests/Virtual/VirtualTime.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace burlreach {

/** How a request ended at its caller. */
struct RequestEnd {
    bool answered = false;
    AttemptResult result = AttemptResult::Answered; // of the passed answer
    std::string answeredId; // the id that the passed answer was made for
    RefuseRequest refusal;
};

/** A request as a caller hands it to an instance. */
struct CallerWork {
    RequestArrived arrival; // without its number
    Milliseconds cost; // at the backend server
    bool runsOnce = false;
    std::function<void(const RequestEnd&)> done; // never called when the instance dies
};

/** What happens to the message, store call or action at a step. */
enum class Fate {
    Goes,
    Lost,
    Late,
    Twice
};

/** A stretch of slot time that a probe took. */
struct ProbeTime {
    Milliseconds from;
    Milliseconds to;
};

/** A request sent to a backend server. */
struct SentTo {
    Milliseconds at;
    std::size_t node = 0;
};

/**
 * A few Node objects joined by a list of undelivered messages, with fakes for
 * the store and the backend servers, in virtual time. It serves the fault
 * matrix, the tests and the benchmarks.
 */
class VirtualFleet {
public:
    struct Options {
        std::uint64_t seed = 1;
        std::size_t nodes = 3;
        std::size_t backendServers = 4;
        std::size_t dataCentres = 3;
        Milliseconds tick{ 10 };
        Milliseconds betweenDataCentres{ 1.5 };
        Milliseconds withinDataCentre{ 0.1 };
        Milliseconds probeCost{ 6 };
        Milliseconds requestIdsKept{ 300000 };
        bool probes = true;
        bool hedges = true;
        std::shared_ptr<const PolicyFactory> policies;
    };

    explicit VirtualFleet(const Options& options);

    void start();
    void runUntil(Milliseconds end) { this->time.runUntil(end); }
    void request(std::size_t node, CallerWork work);
    void change(std::size_t node, const v1::ChangeRequest& request, std::function<void(const v1::ChangeAnswer&)> done);
    void stop(std::size_t node);

    void kill(std::size_t node);
    /** Starts a new life under the same name and address. */
    void startNode(std::size_t node);
    void freeze(std::size_t node, Milliseconds length);
    void cut(std::size_t from, std::size_t to, bool isCut);
    void cutFromStore(std::size_t node, bool isCut) { this->members[node].cutFromStore = isCut; }
    void setClockRate(std::size_t node, double rate);
    void publishList();

    bool isAlive(std::size_t node) const { return this->members[node].node != nullptr; }
    bool isFrozen(std::size_t node) const { return this->time.now() < this->members[node].frozenUntil; }
    const Node& node(std::size_t index) const { return *this->members[index].node; }
    /** Counts the starts and ends of a node. */
    std::uint64_t lifeOf(std::size_t node) const { return this->members[node].life; }
    std::size_t size() const { return this->members.size(); }
    const std::string& nameOf(std::size_t node) const { return this->members[node].name; }
    std::uint32_t revisionOf(std::size_t node) const;
    /** The configuration with all fake backend servers of one service. */
    v1::Configuration firstConfiguration() const;

    VirtualTime time;
    VirtualStore store;
    Random random;
    std::vector<std::unique_ptr<VirtualBackendServer>> backends;
    std::function<Fate(Step, std::size_t node)> onStep;
    std::function<void(std::size_t node)> onEvent; // after each event of a node
    std::vector<std::vector<ProbeTime>> probeTimes; // per backend server
    std::vector<std::vector<SentTo>> sentTo; // per backend server
    std::uint64_t peerBytes = 0;
    std::uint64_t refusals = 0; // told to callers
    Milliseconds listLag;
    bool listFrozen = false;

private:
    struct Member {
        std::string name;
        std::string dataCentre;
        NetworkAddress address;
        std::unique_ptr<Node> node;
        std::uint64_t life = 0; // messages and answers for earlier lives are dropped
        Milliseconds frozenUntil = LongAgo;
        std::deque<VirtualTime::Task> held; // while frozen
        bool cutFromStore = false;
        std::set<std::size_t> cutTo;
        double clockRate = 1;
        Milliseconds clockBase;
        Milliseconds rateSince;
        Milliseconds nextDocumentPoll;
        Milliseconds nextListPoll;
        std::map<RequestNumber, CallerWork> requests;
        std::map<AttemptNumber, RequestEnd> ended; // answers that may be passed on
        std::map<OperatorCallNumber, std::function<void(const v1::ChangeAnswer&)>> calls;
    };

    /** Runs the task for this life of the node, now or when it wakes. */
    void forNode(std::size_t node, std::uint64_t life, VirtualTime::Task task);
    void handle(std::size_t node, const Event& event);
    void carryOut(std::size_t node, const Action& action);
    void execute(std::size_t node, const SendAttempt& action);
    void launch(std::size_t node, const SendAttempt& action, Milliseconds sendBy);
    void attemptEnded(std::size_t node, const SendAttempt& action, const AttemptEnd& end, bool runsOnce);
    void execute(std::size_t node, const CancelAttempt& action);
    void execute(std::size_t node, const PassAnswer& action);
    void execute(std::size_t node, const RefuseRequest& action);
    void execute(std::size_t node, const SendToPeer& action);
    void execute(std::size_t node, const AskStore& action);
    void execute(std::size_t node, const SendProbe& action);
    void execute(std::size_t node, const AnswerChange& action);
    void execute(std::size_t, const AnswerInForce&) { }
    void tick(std::size_t node, std::uint64_t life);
    void poll(std::size_t node);
    void readDocument(std::size_t node, StoreDocument document);
    void deliver(std::size_t to, const peers::PeerMessage& message, Milliseconds delay);
    Fate reach(Step step, std::size_t node) const { return this->onStep ? this->onStep(step, node) : Fate::Goes; }
    Milliseconds clockOf(const Member& member) const;
    Milliseconds distance(const std::string& from, const std::string& to) const;
    std::optional<std::size_t> nodeAt(const NetworkAddress& address) const;
    std::size_t backendAt(std::uint16_t port) const;
    std::uint64_t keyOf(std::size_t node, AttemptNumber attempt) const;

    Options options;
    std::vector<Member> members;
    InstanceList list;
    RequestNumber lastRequest = 0;
    OperatorCallNumber lastCall = 0;
    std::uint64_t lastIncarnation = 0;
};

}
