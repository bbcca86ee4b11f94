#pragma once

#include "Crashes/BrokenAttempts.h"
#include "Crashes/CrashTable.h"
#include "Metrics/DecisionCounters.h"
#include "Node/Actions.h"
#include "Node/CrashMessages.h"
#include "Node/Events.h"
#include "Node/RequestState.h"
#include "operators.pb.h"
#include "peers.pb.h"

#include <algorithm>
#include <span>
#include <string>
#include <vector>

namespace burlreach {

/**
 * Which requests are known to end the backend servers that run them: as seen
 * here, as other instances tell it, and as it is kept in the store.
 *
 * Ends travel with hellos and news, at once when two servers ended under a
 * request; what concerns two or more is kept in the store as well (see
 * CrashRecorder), for instances that begin, stood still or were cut off. Without
 * it one request that came again every 160 ms at three instances ended the seven
 * servers of its service 47 times in 20 s; with it fleets of 3 to 473 instances
 * lose three to eight servers (CrashingRequest test).
 */
class CrashingRequests {
public:
    struct Options {
        CrashTable::Options table;
        /** An end is told so long after it: five hellos, and longer than an instance takes to find new watchers. */
        Milliseconds toldFor{ 6000 };
        Milliseconds tellGap{ 150 }; // between two tellings at once, when many servers end together
        std::size_t mostTold = 12; // ends in a message, some 0.8 KB as worked out; three watchers tell all, each 1.2 s
        std::size_t mostKept = 64; // requests kept in the store: 8 ends of each take some 32 KB, worked out
    };

    CrashingRequests(Options options, DecisionCounters& counters);

    /** It may not be sent to any server now. */
    bool isRefused(const RequestState& request, Milliseconds now) const;
    /** For how long from now on. */
    Milliseconds refusedFor(const RequestState& request, Milliseconds now) const;
    /** Servers ended under it: it has one attempt at a time. */
    bool isSuspect(const RequestState& request) const { return !this->table.ends(request.digest).empty(); }
    /** One more server would be the third or a later one, if those that broke just now have ended. */
    bool mayHaveProof(const RequestState& request) const;

    void sent(const RequestState& request, Milliseconds now);
    /** The connection of an attempt broke before its answer. */
    void broke(const RequestState& request, const BackendServerState& server, Milliseconds now, Actions& actions);
    /** A server gave its whole answer. */
    void answered(const RequestState& request, Milliseconds now, Actions& actions);
    void checked(const ServerChecked& event, Milliseconds now, Actions& actions);
    /** Another life of the server is there, or its record is gone: the process of before has ended. */
    void replaced(const std::string& backendServer, Milliseconds now, Actions& actions);

    /** What was seen here lately, for those that pass it on. */
    void fillWithOwn(peers::CrashNews& message, Milliseconds now);
    /** What was seen or heard lately, for all. */
    void fillWithAll(peers::CrashNews& message, Milliseconds now) const;
    /** What others tell; with passesOn they did not tell all, and two ends or more are told on at once. */
    void receive(const peers::CrashNews& message, bool passesOn, Milliseconds now, Actions& actions);
    /** What is to be kept in the store. */
    peers::CrashNews kept(Milliseconds now) const;
    void takeKept(const peers::CrashNews& message, Milliseconds now, Actions& actions);
    /** True once after what is to be kept may have changed. */
    bool takeChanged();
    /** Looks a second time at servers that may still be ending. */
    void lookAgain(Milliseconds now, Actions& actions);
    /** Forgets what is over. */
    void tick(Milliseconds now);

    /** When others should hear of it; Never when there is nothing to tell at once. */
    Milliseconds nextTelling() const { return this->tellAt; }
    /** When a telling or a second look is due. */
    Milliseconds nextDue() const { return std::min(this->tellAt, this->broken.nextLook()); }
    void told(Milliseconds now);

    v1::ShowCrashingRequestsAnswer show(Milliseconds now) const;
    std::size_t size() const { return this->table.size(); }

private:
    static CallersRequest keyOf(const RequestState& request);
    void serverEnded(const std::string& backendServer, Milliseconds now, Actions& actions);
    /** An end that was not known; tells when it proves that the request crashes servers. */
    void learned(const RequestDigest& digest, bool wasCrashing, std::string_view heardFrom, Actions& actions);
    void cleared(const RequestDigest& digest, std::string_view heardFrom, Actions& actions);
    void tellSoon(Milliseconds now);
    /** What was seen here so long ago that it is not told any more. */
    void forgetTold(Milliseconds now);
    std::vector<ToldEnd> endsSince(Milliseconds from) const;
    void write(std::vector<ToldEnd> ends, std::span<const CrashTable::Answer> answers, Milliseconds now,
        peers::CrashNews& message) const;

    Options options;
    DecisionCounters* counters;
    CrashTable table;
    BrokenAttempts broken;
    std::vector<ToldEnd> ownEnds; // seen here, as long as they are told
    std::vector<CrashTable::Answer> ownAnswers;
    bool hasChanged = false;
    Milliseconds tellAt = Never;
    Milliseconds toldAt = LongAgo;
};

}
