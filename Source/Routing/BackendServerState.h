#pragma once

#include "Base/Milliseconds.h"
#include "Configuration/BackendServerRecord.h"
#include "Routing/AttemptResult.h"
#include "Routing/SendPermits.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burlreach {

/** A load report and the time at which it was received. */
struct TimedLoadReport {
    ReportedLoad load;
    double requestsFromOthers = 0; // requests of other instances at the server at that time
    Milliseconds at = LongAgo;
};

/** What a finished attempt contributes to the slowdown estimate of its service. */
struct FinishedAttempt {
    double relativeTime = 0; // duration / expected duration / slowdown that the server reported; 0: not known
    double slotUse = 0; // share of the server's slots in use when the request was sent; 0: not known
};

/** What this instance knows about one life of a backend server. */
class BackendServerState {
public:
    BackendServerState(const BackendServerRecord& record, Milliseconds now);

    /** Applies a changed record of the same life. */
    void configure(const BackendServerRecord& record, Milliseconds now);
    /** Maximum of connections, and so of requests in flight, from this instance to the server. */
    void setConnectionShare(std::size_t share) { this->connectionShare = share; }

    void sent(AttemptNumber attempt, Milliseconds now);
    /** The server has answered the attempt; the rest of a long answer does not make it slower. */
    void answerBegan(AttemptNumber attempt, Milliseconds now);
    /**
     * Ends an attempt and updates the estimates from its outcome. `expected` is the time that such a request takes
     * at an average server; zero when it is not known.
     */
    FinishedAttempt ended(AttemptNumber attempt, const AttemptEnd& end, Milliseconds expected, Milliseconds now);
    void updateLoad(const ReportedLoad& figures, Milliseconds now);
    /** A probe could not connect, or was not answered. */
    void probeFailed();
    /** The server announced that it is shutting down: this life gets no new requests. */
    void setLeaving() { this->leaving = true; }
    /** The server asked this instance to send nothing until then. An earlier request for a longer pause stays valid. */
    void pauseUntil(Milliseconds until);
    /** The server reported for how long it is still cold; zero: it is warm. */
    void setColdFor(Milliseconds remaining, Milliseconds now) { this->coldUntil = now + remaining; }
    /** Its data centre was emptied, or was taken back into use. */
    void setEmptied(bool isEmptied) { this->emptied = isEmptied; }
    /** Another backend server now has the address: this life is over. */
    void markReplaced() { this->replaced = true; }
    void eject(Milliseconds until);
    /** Drops recorded failures and an ejection that followed from them, because the server did not cause them. */
    void forgetFailures();

    const BackendServerRecord& record() const { return this->description; }
    const std::string& id() const { return this->description.id; }
    double slots() const;
    std::size_t inFlight() const { return this->flights.size(); }
    bool hasConnectionLeft() const { return this->flights.size() < this->connectionShare; }

    /** True when the server announced its shutdown or its record says that it is draining. */
    bool isLeaving() const { return this->leaving || this->description.draining; }
    /** False for draining, leaving and replaced backend servers, and in an emptied data centre. */
    bool takesNewRequests() const;
    bool isEmptied() const { return this->emptied; }
    /** True for a short time after a refusal, in which the server gets no requests. */
    bool isBackingOff(Milliseconds now) const { return now < this->backoffUntil; }
    /** The server asked this instance to send nothing for now: no request, hedge or probe. */
    bool isPaused(Milliseconds now) const { return now < this->pauseEnd; }
    Milliseconds pausedUntil() const { return this->pauseEnd; }
    /**
     * False while the server is ramping up after a pause and has all the requests that this allows from this instance.
     */
    bool mayTakeAfterPause() const { return !this->allowedAfterPause || this->inFlight() < this->allowedAfterPause; }
    /** Permits for the requests of this instance while the server has a limit. */
    SendPermits& permits() { return this->sendPermits; }
    const SendPermits& permits() const { return this->sendPermits; }
    bool isEjected(Milliseconds now) const { return now < this->ejectedUntil; }
    /** Ejected before and without a successful answer since: gets one request at a time. */
    bool isOnTrial() const { return this->ejectionCount > 0; }
    bool isCold(Milliseconds now) const { return now < this->coldUntil; }
    unsigned failuresInARow() const { return this->failures; }
    unsigned ejections() const { return this->ejectionCount; }
    double failureShare(Milliseconds now) const;

    /** A fresh report shows no requests at the server and no slowdown. */
    bool isReportedIdle(Milliseconds now) const;
    const TimedLoadReport& report() const { return this->lastReport; }
    /** False for some time after a report that contradicted the requests in flight from this instance. */
    bool isReportTrusted(Milliseconds now) const { return now >= this->distrustedUntil; }
    /** How many times longer than usual requests took at this server, without the slowdown that it reported itself. */
    double slowness(Milliseconds now) const;
    /** Age of the oldest request in flight; zero with none. */
    Milliseconds oldestAge(Milliseconds now) const;

private:
    struct InFlightAttempt {
        AttemptNumber attempt = 0;
        Milliseconds sentAt;
        std::optional<Milliseconds> answerBeganAt;
        double requestsPerSlot = 1; // requests per slot at the server when this one was sent, at least 1
        double slotUse = 0; // share of the slots in use, from a fresh report; 0: there was none
        std::optional<SendPermit> permit; // the permit that it used, if any
    };

    void updateEstimates(const AttemptEnd& end, const InFlightAttempt& flight, Milliseconds expected, Milliseconds now);
    void updateSlowness(const AttemptEnd& end, const InFlightAttempt& flight, Milliseconds expected, Milliseconds now);
    void recordSuccess(const InFlightAttempt& flight, Milliseconds now);
    void rampUpAfterPause(const InFlightAttempt& flight);
    void recordFailure(Milliseconds now);
    void recordRefusal(Milliseconds now);
    void addOutcome(double failure, Milliseconds now);

    BackendServerRecord description;
    std::size_t connectionShare = 16;
    Milliseconds coldUntil = LongAgo;
    bool replaced = false;
    bool emptied = false;
    bool leaving = false;
    std::vector<InFlightAttempt> flights;
    SendPermits sendPermits;
    TimedLoadReport lastReport;
    Milliseconds distrustedUntil = LongAgo;
    double slownessEstimate = 1;
    Milliseconds slownessAt = LongAgo;
    double failureEstimate = 0;
    Milliseconds failureAt = LongAgo;
    unsigned refusals = 0; // consecutive
    Milliseconds backoffUntil = LongAgo;
    Milliseconds pauseEnd = LongAgo;
    std::size_t allowedAfterPause = 0; // concurrent requests from this instance after a pause; 0: not limited
    unsigned failures = 0; // consecutive
    unsigned ejectionCount = 0;
    Milliseconds ejectedUntil = LongAgo;
};

}
