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

/** A load report with the time at which it was heard. */
struct LoadReport {
    LoadFigures figures;
    double others = 0; // requests of other instances at that time
    Milliseconds at = LongAgo;
};

/** What an ended attempt tells of its service. */
struct EndedFlight {
    double time = 0; // in expected times, apart from the slowness that the server told; 0: not known
    double use = 0; // of the server's slots when it was sent; 0: not known
};

/** What this instance knows of one life of a backend server. */
class BackendServerState {
public:
    BackendServerState(const BackendServerRecord& record, Milliseconds now);

    /** Takes over a changed record of the same life. */
    void configure(const BackendServerRecord& record, Milliseconds now);
    /** Connections, and so requests in flight, that this instance may have there. */
    void setConnectionShare(std::size_t share) { this->connectionShare = share; }

    void sent(AttemptNumber attempt, Milliseconds now);
    /**
     * Ends an attempt and learns from it. The expected time is that of such a
     * request at a usual server; zero when it is not known.
     */
    EndedFlight ended(AttemptNumber attempt, const AttemptEnd& end, Milliseconds expected, Milliseconds now);
    void reported(const LoadFigures& figures, Milliseconds now);
    /** A probe found nobody at the address, or heard nothing. */
    void probeFailed();
    /** It said itself that it is leaving: this life gets nothing new any more. */
    void setLeaving() { this->leaving = true; }
    /** It asked this instance to send nothing until then; a later end that it asked for before holds on. */
    void pauseUntil(Milliseconds until);
    /** It said itself for how long it is cold; zero: it is not. */
    void coldFor(Milliseconds remaining, Milliseconds now) { this->coldUntil = now + remaining; }
    /** Its data centre is emptied, or was taken back into use. */
    void setEmptied(bool isEmptied) { this->emptied = isEmptied; }
    /** Another backend server has the address: this life is over. */
    void markReplaced() { this->replaced = true; }
    void eject(Milliseconds until);

    const BackendServerRecord& record() const { return this->description; }
    const std::string& id() const { return this->description.id; }
    double slots() const;
    std::size_t inFlight() const { return this->flights.size(); }
    bool hasConnectionLeft() const { return this->flights.size() < this->connectionShare; }

    /** By its own word or its record. */
    bool isLeaving() const { return this->leaving || this->description.draining; }
    /** False for draining, leaving and replaced backend servers, and in an emptied data centre. */
    bool takesNewRequests() const;
    bool isEmptied() const { return this->emptied; }
    /** After a refusal it rests for a moment. */
    bool isResting(Milliseconds now) const { return now < this->restingUntil; }
    /** It has asked for nothing to be sent: no request, hedge or probe. */
    bool isPaused(Milliseconds now) const { return now < this->pauseEnd; }
    Milliseconds pausedUntil() const { return this->pauseEnd; }
    /** False while it is coming back after a pause and has as many requests from here as that allows. */
    bool mayTakeAfterPause() const { return !this->allowedAfterPause || this->inFlight() < this->allowedAfterPause; }
    /** What it may be sent from here as long as it names a limit. */
    SendPermits& permits() { return this->sendPermits; }
    const SendPermits& permits() const { return this->sendPermits; }
    bool isEjected(Milliseconds now) const { return now < this->ejectedUntil; }
    /** Ejected before and not proved well since: one request at a time. */
    bool isOnTrial() const { return this->ejectionCount > 0; }
    bool isCold(Milliseconds now) const { return now < this->coldUntil; }
    unsigned failuresInARow() const { return this->failures; }
    unsigned ejections() const { return this->ejectionCount; }
    double failureShare(Milliseconds now) const;

    /** It said just now that it has free slots, nothing to do and is not slow. */
    bool saidItIsWell(Milliseconds now) const;
    const LoadReport& report() const { return this->lastReport; }
    /** False while a report contradicted what had been sent from here. */
    bool reportIsTrusted(Milliseconds now) const { return now >= this->distrustedUntil; }
    /** How many times longer than usual requests took here, apart from the reported percentage. */
    double slowness(Milliseconds now) const;
    /** How long the oldest request has been in flight; zero with none. */
    Milliseconds oldestAge(Milliseconds now) const;

private:
    struct Flight {
        AttemptNumber attempt = 0;
        Milliseconds sentAt;
        double crowd = 1; // requests for each slot when it was sent, at least 1
        double use = 0; // as fresh figures told it; 0: there were none
        std::optional<SendPermit> permit; // that it used
    };

    void learn(const AttemptEnd& end, const Flight& flight, Milliseconds expected, Milliseconds now);
    void learnSlowness(const AttemptEnd& end, const Flight& flight, Milliseconds expected, Milliseconds now);
    void succeeded(const Flight& flight, Milliseconds now);
    void answeredAfterPause(const Flight& flight);
    void failed(Milliseconds now);
    void refused(Milliseconds now);
    void noteOutcome(double failure, Milliseconds now);

    BackendServerRecord description;
    std::size_t connectionShare = 16;
    Milliseconds coldUntil = LongAgo;
    bool replaced = false;
    bool emptied = false;
    bool leaving = false;
    std::vector<Flight> flights;
    SendPermits sendPermits;
    LoadReport lastReport;
    Milliseconds distrustedUntil = LongAgo;
    double slownessEstimate = 1;
    Milliseconds slownessAt = LongAgo;
    double failureEstimate = 0;
    Milliseconds failureAt = LongAgo;
    unsigned refusals = 0; // in a row
    Milliseconds restingUntil = LongAgo;
    Milliseconds pauseEnd = LongAgo;
    std::size_t allowedAfterPause = 0; // requests from here at once; 0: no limit of this kind
    unsigned failures = 0; // in a row
    unsigned ejectionCount = 0;
    Milliseconds ejectedUntil = LongAgo;
};

}
