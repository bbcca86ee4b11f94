#pragma once

#include "Base/NetworkAddress.h"
#include "Membership/ContactBook.h"
#include "Membership/MemberTable.h"
#include "Membership/NewsTree.h"
#include "Membership/PullPlan.h"
#include "Membership/WatchDuty.h"
#include "Metrics/DecisionCounters.h"
#include "Node/Actions.h"
#include "Node/CrashingRequests.h"
#include "Node/LeavingSigns.h"
#include "Node/RolloutDesk.h"
#include "Node/ServerLimits.h"
#include "Node/StoreKeeper.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace burlreach {

/**
 * What instances tell each other of the store.
 *
 * The few instances that watch the store send their news to all that asked for
 * them; those of the leading one hold the changes themselves. Everyone else
 * says hello to the watchers now and then; whoever knows none says hello to the
 * seeds of its settings, which answer with the watchers that they know.
 */
class NewsExchange {
public:
    struct Options {
        peers::Member self;
        std::vector<NetworkAddress> seeds;
        Milliseconds helloInterval{ 1200 };
        Milliseconds searchInterval{ 250 }; // between first hellos while no watcher is known, then growing
        Milliseconds seedInterval{ 4000 }; // watchers look for others at their seeds
        /**
         * A watcher without an answer of the store tells that it still asks: later than a quiet watch ends, and 150 ms
         * before others take their knowledge to be old.
         */
        Milliseconds stillAskingInterval{ 1300 };
        /** Those that have just begun are told together, over a tree: one by one, 473 take a strong link 0.7 s. */
        Milliseconds helpInterval{ 30 };
        MemberTable::Options members;
        WatchDuty::Options duty;
        NewsTreeOptions tree;
        PullPlan::Options pulls;
    };

    struct Parts {
        StoreKeeper* store = nullptr;
        LeavingSigns* signs = nullptr;
        CrashingRequests* crashes = nullptr;
        RolloutDesk* rollouts = nullptr;
        ServerLimits* limits = nullptr;
        Random* random = nullptr;
        DecisionCounters* counters = nullptr;
    };

    NewsExchange(Options options, Parts parts);

    void receive(const peers::PeerMessage& message, Milliseconds now, Actions& actions);
    /** The store confirmed or changed what is known: everyone should hear. */
    void spread(Milliseconds now, Actions& actions);
    /** Something may be known here for the first time: those that know nothing should hear. */
    void viewChanged(Milliseconds now, Actions& actions);
    /** Something was seen or heard here, such as a sign of leaving: the others should hear at once. */
    void tellAtOnce(Milliseconds now, Actions& actions);
    /** What was seen here should be heard by those that watch the store. */
    void tellWatchers(Milliseconds now, Actions& actions) { this->sayHello(now, actions); }
    void setSeeds(std::vector<NetworkAddress> seeds);
    void tick(Milliseconds now, Actions& actions);
    Milliseconds nextDue() const;

    bool shouldWatch(Milliseconds now);
    /** Of the instances that watch this one writes to the store what the fleet keeps there. */
    bool leads(Milliseconds now) const { return this->parts.store->isWatching() && this->duty.leads(now); }
    bool isWatching() const { return this->parts.store->isWatching(); }
    /**
     * The first of the instances that watch the store, unless it is this one or none was heard: the same for all that
     * hear the same, also while the store is away.
     */
    std::optional<peers::Member> firstOtherWatcher(Milliseconds now) const
    {
        return this->duty.firstBefore(this->isWatching(), now);
    }
    /** The store gave no usable answer to a call from here. */
    void askedInVain() { this->duty.askedInVain(); }
    /** Other instances that said hello here lately. */
    const std::vector<KnownMember>& knownInstances() const { return this->members.members(); }
    /** Null when nothing was heard lately of an instance of this name. */
    const KnownMember* memberNamed(std::string_view name) const { return this->members.byName(name); }
    /** Instances of the fleet, this one included, as far as it is known. */
    std::size_t instances(Milliseconds now) const;
    /** Asks those who know all instances; the answer comes with takeInForce(). */
    void askMembers(OperatorCallNumber call, Milliseconds now, Actions& actions);

private:
    /** The latest news of an origin. */
    struct LastNews {
        std::uint64_t life = 0;
        std::uint64_t number = 0;
        Milliseconds heardAt = LongAgo;
    };

    /** An operator who waits to hear what is in force where. */
    struct InForceCall {
        OperatorCallNumber call = 0;
        Milliseconds giveUp;
    };

    void send(const NetworkAddress& address, peers::PeerMessage message, Actions& actions) const;
    /** Only an instance that said hello before can be answered. */
    void answer(const peers::Incarnation& asker, const peers::PeerMessage& message, Actions& actions) const;
    void helloReceived(const peers::Hello& hello, Milliseconds now, Actions& actions);
    void watchersReceived(const peers::Watchers& message, Milliseconds now, Actions& actions);
    void membersReceived(const peers::MembersPush& message, Milliseconds now, Actions& actions);
    /** True for news that are not older than what this origin told before. */
    bool isNewer(const peers::News& news, Milliseconds now);
    void newsReceived(const peers::PeerMessage& message, Milliseconds now, Actions& actions);
    void pushReceived(const peers::PeerMessage& message, Milliseconds now, Actions& actions);
    /** Passes news or a push on to those that it names. */
    void relay(const peers::PeerMessage& message, Actions& actions) const;
    /** Whoever has found the store again may be known to nobody: the watchers introduce it to all. */
    void tellOtherWatchers(const peers::PeerMessage& news, Milliseconds now, Actions& actions) const;
    Milliseconds nextStillAsking() const { return this->spreadAt + this->options.stillAskingInterval; }
    void sendOver(const std::vector<NewsBranch>& branches, peers::PeerMessage message, Actions& actions) const;
    /** The leading watcher introduces members, others only where they know no watcher. */
    bool introducesOthers(Milliseconds now) const;
    /** Tells a new watcher, if it is a wanted one, of the instances that said hello here. */
    void introduceMembers(const peers::Member& watcher, Milliseconds now, Actions& actions) const;
    /** Asks for what is missing, if it is time to. */
    void pull(Milliseconds now, Actions& actions);
    /** Tells everything to all that said that they know nothing. */
    void helpOthers(Milliseconds now, Actions& actions);
    Milliseconds searchPause();
    peers::PeerMessage newHello(Milliseconds now) const;
    peers::PeerMessage newNews(StoreRevision since, Milliseconds now);
    void sayHello(Milliseconds now, Actions& actions);
    void helloToSeeds(Milliseconds now, Actions& actions);
    peers::MembersPush knownMembers(Milliseconds now) const;
    void answerInForce(const peers::MembersPush& members, Milliseconds now, Actions& actions);

    Options options;
    Parts parts;
    MemberTable members;
    ContactBook contacts;
    WatchDuty duty;
    PullPlan pulls;
    std::map<std::string, LastNews> lastNews; // by origin
    std::uint64_t newsNumber = 0;
    StoreRevision spreadRevision = 0; // the receivers have at least this, but for new ones
    std::size_t toldInstances = 1;
    Milliseconds toldInstancesAt = LongAgo;
    Milliseconds nextHello = LongAgo;
    Milliseconds nextSeeds = LongAgo;
    Milliseconds spreadAt = LongAgo;
    bool hasView = false; // something is known here
    Milliseconds helpAt = Never; // others know nothing
    unsigned searches = 0; // in a row without a watcher
    bool asksByThemselves = false; // the last push held values that could not be unpacked
    std::vector<InForceCall> inForceCalls;
};

}
