#pragma once

#include "Crashes/BrokenAttemptTracker.h"
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
 * Detects requests that crash the backend servers that run them, so that they
 * are refused before they crash more.
 *
 * Input: connections that break before an answer, followed by a check whether
 * the server's process has ended; reports from other instances; and the record
 * in the store. CrashTable decides from these crashes which requests are
 * refused. An answer from a server clears the request.
 *
 * Output: crashes seen here are sent to other instances with hellos and gossip
 * updates, immediately after each crash. Requests with two or more counted
 * crashes are also kept in the store (see CrashRecorder), for instances that
 * start, were suspended or were cut off from their peers.
 *
 * Without this exchange, a request repeated every 160 ms at three instances
 * crashed the seven servers of its service 47 times in 20 s; with it, fleets of
 * 3 to 473 instances lose three to eight servers.
 */
class CrashingRequestDetector {
public:
    struct Options {
        CrashTable::Options table;
        /** A crash is reported for this long: five hellos, and longer than an instance needs to find new watchers. */
        Milliseconds reportFor{ 6000 };
        Milliseconds minReportInterval{ 150 }; // between immediate reports, when many servers crash together
        std::size_t maxCrashesPerMessage = 12; // about 0.8 KB, which each of three watchers sends every 1.2 s
        std::size_t maxStoredRequests = 64; // about 32 KB in the store with 8 crashes of each request
    };

    CrashingRequestDetector(Options options, DecisionCounters& counters);

    /** True when the request must not be sent to any server now. */
    bool isRefused(const RequestState& request, Milliseconds now) const;
    /** The time from now until the request may be sent again. */
    Milliseconds refusedFor(const RequestState& request, Milliseconds now) const;
    /** True when a server crashed during this request; such a request is not hedged. */
    bool isSuspect(const RequestState& request) const { return !this->table.crashes(request.digest).empty(); }
    /**
     * True when the known crashes, together with broken connections whose servers are still being checked, may be
     * enough to refuse the request; a retry could then crash one server more than needed.
     */
    bool mayBeCrashing(const RequestState& request) const;

    void sent(const RequestState& request, Milliseconds now);
    /** The connection of an attempt broke before the answer. */
    void connectionBroke(
        const RequestState& request, const BackendServerState& server, Milliseconds now, Actions& actions);
    /** A server answered the request completely. */
    void answered(const RequestState& request, Milliseconds now, Actions& actions);
    void handleServerCheck(const ServerChecked& event, Milliseconds now, Actions& actions);
    /** The server has a new life, or its record was removed: the earlier process has ended. */
    void handleServerReplaced(const std::string& backendServer, Milliseconds now, Actions& actions);

    /** Recent crashes seen by this instance, for watchers, which forward them. */
    void appendOwnReports(peers::CrashNews& message, Milliseconds now);
    /** Recent crashes seen here or reported by others, for all instances. */
    void appendAllReports(peers::CrashNews& message, Milliseconds now) const;
    /**
     * Merges a report from another instance. With passesOn the sender has not informed the whole fleet, so requests
     * with two or more counted crashes are forwarded at once.
     */
    void receive(const peers::CrashNews& message, bool passesOn, Milliseconds now, Actions& actions);
    /** The record to keep in the store. */
    peers::CrashNews makeStoreRecord(Milliseconds now) const;
    void mergeStoreRecord(const peers::CrashNews& message, Milliseconds now, Actions& actions);
    /** True once after the record to keep in the store may have changed. */
    bool takeStoreRecordChanged();
    /** Starts the second check of servers whose first check succeeded; their processes may still be ending. */
    void startSecondChecks(Milliseconds now, Actions& actions);
    /** Drops expired crashes and answers. */
    void tick(Milliseconds now);

    /** When to send a report to other instances; Never when none is urgent. */
    Milliseconds nextReportAt() const { return this->reportAt; }
    /** When a report or a second check is due. */
    Milliseconds nextDue() const { return std::min(this->reportAt, this->broken.nextCheck()); }
    void reportSent(Milliseconds now);

    v1::ShowCrashingRequestsAnswer show(Milliseconds now) const;
    std::size_t size() const { return this->table.size(); }

private:
    static CallerRequest keyOf(const RequestState& request);
    void handleServerCrash(const std::string& backendServer, Milliseconds now, Actions& actions);
    /** Handles a crash that was not known before; logs when it makes the request count as crashing. */
    void handleNewCrash(const RequestDigest& digest, bool wasCrashing, std::string_view heardFrom, Actions& actions);
    void handleCleared(const RequestDigest& digest, std::string_view heardFrom, Actions& actions);
    void scheduleReport(Milliseconds now);
    /** Drops own crashes and answers that are too old to be reported. */
    void dropExpiredReports(Milliseconds now);
    std::vector<CrashReport> crashesSince(Milliseconds from) const;
    void write(std::vector<CrashReport> ends, std::span<const CrashTable::Answer> answers, Milliseconds now,
        peers::CrashNews& message) const;

    Options options;
    DecisionCounters* counters;
    CrashTable table;
    BrokenAttemptTracker broken;
    std::vector<CrashReport> ownCrashes; // seen by this instance and still reported
    std::vector<CrashTable::Answer> ownAnswers;
    bool hasChanged = false;
    Milliseconds reportAt = Never;
    Milliseconds lastReportAt = LongAgo;
};

}
