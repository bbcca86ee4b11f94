#pragma once

#include "Base/DealtBudget.h"
#include "Base/Random.h"
#include "Limits/LimitBook.h"
#include "Limits/PermitSchedule.h"
#include "Metrics/DecisionCounters.h"
#include "Node/Actions.h"
#include "Node/Events.h"
#include "Node/ServiceState.h"
#include "peers.pb.h"

#include <cstddef>
#include <cstdint>
#include <google/protobuf/repeated_ptr_field.h>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace burlreach {

class NewsExchange;
class ServiceTable;

/**
 * Keeps the fleet within the limits that backend servers name in their
 * answers. What servers said is told to all instances with the news. One
 * instance, the first of those that watch the store, grants permits, one for
 * each request; where it cannot be asked, a small part of the limit is dealt
 * among all instances.
 */
class ServerLimits {
public:
    using Messages = google::protobuf::RepeatedPtrField<peers::NamedLimit>;

    struct Options {
        peers::Member self;
        Milliseconds answerPatience{ 150 }; // of an ask; 40 ms to another region and back, and slow processors
        Milliseconds silentPause{ 300 }; // a granting instance that was silent is not asked for so long
        /** Longer than it takes until all others know a new granting instance, less what the limits leave over. */
        Milliseconds takeOver{ 500 };
        Milliseconds toldFor{ 3000 }; // an older statement is not passed on any more
        Milliseconds longestTellDelay{ 300 }; // many hear the same at one moment: one of them tells it
        double dealtShare = 0.1; // of the limit, where nobody grants
        Milliseconds dealtWindow{ 4000 };
        double shareOfUnknown = 0.25; // of the limit, granted while the size of the fleet is not known
    };

    /** All outlive this object. */
    struct Parts {
        LimitBook* book = nullptr;
        const ServiceTable* services = nullptr;
        const NewsExchange* news = nullptr;
        Random* random = nullptr;
        DecisionCounters* counters = nullptr;
    };

    ServerLimits(Options options, Parts parts);

    /** An answer may name a limit. */
    void heard(const ServerNoticed& event, Milliseconds now, Actions& actions);
    /** A whole answer to a request of this time came, after what its header named was heard. */
    void answered(BackendServerState& server, Milliseconds sentAt, Milliseconds now, Actions& actions);

    /**
     * A request waits for a server of this service: asks for a permit if one may help within its time. True when one
     * is there at once.
     */
    bool wanted(const ServiceState& service, Milliseconds patience, Milliseconds now, Actions& actions);
    /** A request of this service begins: asks for a permit for a server whose word is old, to hear it again. */
    void begun(const ServiceState& service, Milliseconds now, Actions& actions);

    void receive(const peers::PeerMessage& message, Milliseconds now, Actions& actions);
    /** What is worth telling: all that is known, or what was heard here. */
    void fill(Messages& messages, bool onlyHeardHere, Milliseconds now) const;
    /** What another instance told, to this one or with the news that go to all. */
    void receive(const Messages& messages, bool isNews, Milliseconds now, Actions& actions);
    /** When those who do not know yet should be told at once what was heard here. */
    Milliseconds nextTelling() const { return this->untold.empty() ? Never : this->tellAt; }
    void told() { this->untold.clear(); }
    /** True once after a change that may let waiting requests go on, or be refused. */
    bool takeChanged() { return std::exchange(this->changed, false); }

    void tick(std::optional<std::size_t> instancesAtLeast, Milliseconds now);

private:
    /** How something about a limit came to be known here. */
    enum class Way {
        Answer, // of the server
        Peer, // one other instance said it
        News // all are told
    };

    void note(const std::string& backendServer, LimitChange change, Way way, Milliseconds now, Actions& actions);
    void tellLater(const std::string& backendServer, Milliseconds now);
    void apply(const std::string& backendServer, std::uint64_t life);
    /** Servers of the service for which a permit may be asked. */
    std::vector<BackendServerState*> askable(const ServiceState& service, bool onlyOld, Milliseconds now) const;
    bool ask(BackendServerState& server, Milliseconds patience, Milliseconds now, Actions& actions);
    void askGranting(const peers::Member& granting, BackendServerState& server, const LimitStatement& statement,
        Milliseconds patience, Milliseconds now, Actions& actions);
    /** A permit without asking, now and then. */
    void deal(BackendServerState& server, Milliseconds now);
    PermitSchedule::Grant grant(const PermitSchedule::Wish& wish, Milliseconds now);
    void settle(BackendServerState& server, const PermitSchedule::Grant& grant, Milliseconds now) const;
    /** This instance is the one that grants, and has been for a moment. */
    bool mayGrant(Milliseconds now);
    void asked(const peers::PermitAsk& ask, Milliseconds now, Actions& actions);
    void answered(const peers::PermitAnswer& answer, Milliseconds now, Actions& actions);
    peers::NamedLimit messageOf(
        const std::string& backendServer, const LimitStatement& statement, Milliseconds now) const;
    void take(const peers::NamedLimit& message, Way way, Milliseconds now, Actions& actions);
    std::shared_ptr<BackendServerState> serverOf(const std::string& id, std::uint64_t life) const;

    Options options;
    Parts parts;
    PermitSchedule schedule;
    DealtBudget dealt;
    std::optional<std::size_t> instances; // at least
    Milliseconds grantsFrom = Never; // Never: another instance grants
    std::uint64_t lastAsk = 0;
    std::set<std::string> untold; // servers whose statement was heard here and nobody else told
    Milliseconds tellAt = Never;
    bool changed = false;
};

}
