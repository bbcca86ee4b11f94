#pragma once

#include "Base/NetworkAddress.h"
#include "Membership/ContactRegistry.h"
#include "Membership/GossipTree.h"
#include "Membership/MemberTable.h"
#include "Membership/PullCollector.h"
#include "Membership/PullScheduler.h"
#include "Membership/WatcherSelection.h"
#include "Metrics/DecisionCounters.h"
#include "Node/Actions.h"
#include "Node/CrashingRequestDetector.h"
#include "Node/LeavingSigns.h"
#include "Node/RolloutManager.h"
#include "Node/ServerRateLimiter.h"
#include "Node/StoreSynchronizer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace burlreach {

/**
 * Distributes changes of the store among instances, as a gossip protocol.
 *
 * Input: messages of other instances, changes of the local store view, and
 * timers. Output: messages to other instances, and answers to operators who ask
 * which revision is in force where.
 *
 * - A few instances, the watchers (see WatcherSelection), watch the store. All others
 *   send hello messages to the watchers regularly; an instance that knows no
 *   watcher sends them to the seeds of its settings and to some other contacts,
 *   which reply with the watchers that they know.
 * - After each answer of the store, a watcher sends a gossip update over a tree
 *   of the instances that sent it a hello. Every update carries the store
 *   revision; only the leading watcher's carry the changes, so that they are
 *   sent once.
 * - Large changes follow the update in a push message over the same tree.
 * - An instance that still misses changes pulls them from the origin of an
 *   update that named them. The answers to many pulls are collected and sent over
 *   one tree as well.
 * - Instances that have no data yet are sent the whole view, collected for a
 *   short interval and over one tree.
 */
class GossipExchange {
public:
    struct Options {
        peers::Member self;
        std::vector<NetworkAddress> seeds;
        Milliseconds helloInterval{ 1200 };
        Milliseconds searchInterval{ 250 }; // between the first hellos while no watcher is known; grows with each
        Milliseconds seedInterval{ 4000 }; // between a watcher's hellos to its seeds, to find unknown watchers
        /**
         * A watcher that gets no answer of the store sends an update at this interval to show that it still asks. It is
         * longer than a watch call without changes (1.2 s), and 150 ms shorter than the age at which other instances
         * consider their store view stale.
         */
        Milliseconds keepAliveInterval{ 1300 };
        /**
         * Time in which new instances are collected before all of them are sent the view over one tree. Sent one by
         * one, the view takes 0.7 s of a strong instance's link for 473 instances.
         */
        Milliseconds newInstanceInterval{ 30 };
        MemberTable::Options members;
        WatcherSelection::Options watcherSelection;
        GossipTreeOptions tree;
        PullScheduler::Options pulls;
        PullCollector::Options pullAnswers;
    };

    struct Dependencies {
        StoreSynchronizer* store = nullptr;
        LeavingSigns* signs = nullptr;
        CrashingRequestDetector* crashes = nullptr;
        RolloutManager* rollouts = nullptr;
        ServerRateLimiter* limits = nullptr;
        Random* random = nullptr;
        DecisionCounters* counters = nullptr;
    };

    GossipExchange(Options options, Dependencies parts);

    void receive(const peers::PeerMessage& message, Milliseconds now, Actions& actions);
    /** Sends a gossip update to all instances, after the store confirmed or changed the local view. */
    void broadcastUpdate(Milliseconds now, Actions& actions);
    /** On the first call with a store view, announces it to the seeds and sends it to instances that have none. */
    void announceFirstView(Milliseconds now, Actions& actions);
    /** Sends what was learned here, such as a leaving notice, to the other instances without delay. */
    void notifyOthers(Milliseconds now, Actions& actions);
    /** Sends a hello, with what was learned here, to the instances that watch the store. */
    void notifyWatchers(Milliseconds now, Actions& actions) { this->sendHellos(now, actions); }
    /** Sets the services, by short hash, of which this instance reaches no server; told with the regular messages. */
    void setUnreachedServices(const std::vector<std::uint32_t>& services);
    void setSeeds(std::vector<NetworkAddress> seeds);
    void tick(Milliseconds now, Actions& actions);
    Milliseconds nextDue() const;

    bool shouldWatch(Milliseconds now);
    /** True for the leading watcher, which writes the fleet's shared items to the store. */
    bool isLeadingWatcher(Milliseconds now) const
    {
        return this->dependencies.store->isWatching() && this->watcherSelection.isLeader(now);
    }
    bool isWatching() const { return this->dependencies.store->isWatching(); }
    /**
     * The first by rank of the instances that watch the store; nothing when it is this one or none is known. Instances
     * that receive the same updates agree on it, also while the store is unavailable.
     */
    std::optional<peers::Member> firstOtherWatcher(Milliseconds now) const
    {
        return this->watcherSelection.findFirstWatcher(this->isWatching(), now);
    }
    /** A call from this instance to the store failed. */
    void storeCallFailed() { this->watcherSelection.recordFailedCall(); }
    /** Other instances that sent a hello to this one recently. */
    const std::vector<KnownMember>& knownInstances() const { return this->members.members(); }
    /** Null when no instance of this name was heard from recently. */
    const KnownMember* findMember(std::string_view name) const { return this->members.byName(name); }
    /** Number of known instances in the fleet, this one included. */
    std::size_t instances(Milliseconds now) const;
    /** Asks a watcher for all instances and their revisions; the answer is appended as an AnswerInForce action. */
    void requestMembers(OperatorCallNumber call, Milliseconds now, Actions& actions);

private:
    /** Identifies the latest gossip update of an origin. */
    struct LastNews {
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0;
        Milliseconds receivedAt = LongAgo;
    };

    /** An operator's pending question which revision is in force on each instance. */
    struct InForceCall {
        OperatorCallNumber call = 0;
        Milliseconds deadline;
    };

    void send(const NetworkAddress& address, peers::PeerMessage message, Actions& actions) const;
    void handlePull(const peers::PeerMessage& message, Milliseconds now, Actions& actions);
    /** Sends the changes to the instances that asked for them, if an answer is due. */
    void answerPulls(Milliseconds now, Actions& actions);
    /** Replies to an instance whose address is known from an earlier hello; otherwise does nothing. */
    void answer(const peers::Incarnation& asker, const peers::PeerMessage& message, Actions& actions) const;
    void handleHello(const peers::Hello& hello, Milliseconds now, Actions& actions);
    void handleWatchers(const peers::Watchers& message, Milliseconds now, Actions& actions);
    void handleMembersPush(const peers::MembersPush& message, Milliseconds now, Actions& actions);
    /** True for an update that is newer than all earlier ones of its origin. */
    bool isNewer(const peers::News& news, Milliseconds now);
    void handleUpdate(const peers::PeerMessage& message, Milliseconds now, Actions& actions);
    void handlePush(const peers::PeerMessage& message, Milliseconds now, Actions& actions);
    /** Forwards an update or a push to the receivers that it lists. */
    void relay(const peers::PeerMessage& message, Actions& actions) const;
    /**
     * Sends the update to watchers that are not among the known members. An instance that has just regained the store
     * may be known to nobody else; the watchers make it known to the fleet.
     */
    void sendToOtherWatchers(const peers::PeerMessage& news, Milliseconds now, Actions& actions) const;
    Milliseconds nextKeepAlive() const { return this->lastBroadcastAt + this->options.keepAliveInterval; }
    void sendToBranches(const std::vector<GossipBranch>& branches, peers::PeerMessage message, Actions& actions) const;
    /** True when this instance sends its member list to new watchers: it leads, or knows no watcher. */
    bool shouldIntroduceMembers(Milliseconds now) const;
    /** Sends the known members to a new watcher, if it is one of those that this instance wants updates from. */
    void introduceMembers(const peers::Member& watcher, Milliseconds now, Actions& actions) const;
    /** Sends a pull for missing changes, when one is due. */
    void pull(Milliseconds now, Actions& actions);
    /** Sends the whole store view to all members that have none. */
    void sendViewToNewInstances(Milliseconds now, Actions& actions);
    Milliseconds nextSearchDelay();
    peers::PeerMessage makeHello(Milliseconds now) const;
    /** Names some instances that reach the services which others do not, and the services that none reaches. */
    void addRelays(peers::News& news, Milliseconds now) const;
    peers::PeerMessage makeUpdate(StoreRevision since, Milliseconds now);
    void sendHellos(Milliseconds now, Actions& actions);
    void sendHellosToSeeds(Milliseconds now, Actions& actions);
    peers::MembersPush knownMembers(Milliseconds now) const;
    void answerInForce(const peers::MembersPush& members, Milliseconds now, Actions& actions);

    Options options;
    Dependencies dependencies;
    MemberTable members;
    ContactRegistry contacts;
    WatcherSelection watcherSelection;
    PullScheduler pulls;
    PullCollector pullAnswers;
    std::map<std::string, LastNews> lastNews; // by origin
    std::uint64_t newsNumber = 0;
    StoreRevision broadcastRevision = 0; // of the last update; all receivers but new ones have at least this
    std::size_t reportedInstances = 1;
    Milliseconds instancesReportedAt = LongAgo;
    Milliseconds nextHello = LongAgo;
    Milliseconds nextSeeds = LongAgo;
    Milliseconds lastBroadcastAt = LongAgo;
    bool hasAnnouncedView = false; // the first store view was announced
    Milliseconds sendViewAt = Never; // when to send the view to instances that have none
    unsigned failedSearches = 0; // consecutive searches that found no watcher
    bool needsValuesWithoutBase = false; // since a value of the last push could not be unpacked
    std::vector<InForceCall> inForceCalls;
};

}
