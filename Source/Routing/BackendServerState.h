#pragma once

#include "Base/Milliseconds.h"
#include "Base/NetworkAddress.h"
#include "Routing/AttemptResult.h"
#include "Routing/ConcurrencyLimit.h"
#include "Routing/LoadReport.h"
#include "Routing/ServiceTimeEstimate.h"
#include "configuration.pb.h"

#include <string>
#include <vector>

namespace burlreach {

/** What this instance knows of one backend server of a service. */
class BackendServerState {
public:
    BackendServerState(const std::string& service, const v1::BackendServer& server);

    /** Takes over a changed description; a moved backend server starts anew. */
    void configure(const v1::BackendServer& server, double highestInFlight);

    void sent(AttemptNumber attempt, Milliseconds now);
    /** Response times and failures are learned here; gives the time since sending. */
    Milliseconds ended(AttemptNumber attempt, const AttemptEnd& end, Milliseconds now);
    /** Keeps the report when it is newer than the known one. */
    bool reported(const LoadReport& report);
    /** True when the sign is newer than the known one and says otherwise. */
    bool leavingSign(bool leaving, Milliseconds at);
    void eject(Milliseconds until);

    const std::string& name() const { return this->serverName; }
    /** Of SERVICE/NAME, as messages between instances name it. */
    std::uint32_t hash() const { return this->nameHash; }
    const std::string& dataCentre() const { return this->serverDataCentre; }
    const NetworkAddress& address() const { return this->serverAddress; }
    std::size_t slots() const { return this->slotCount; }

    std::size_t inFlight() const { return this->flights.size(); }
    bool hasRoom(Milliseconds now) const;
    /** Without limits of its own only the share of connections counts. */
    void setAdaptive(bool adapts) { this->adaptive = adapts; }
    double concurrency() const { return this->limit.value(); }
    bool isLeaving() const { return this->leaving; }
    /** When the latest sign of leaving or staying was given. */
    Milliseconds leavingSignAt() const { return this->leavingAt; }
    bool isDraining() const { return this->draining; }
    /** False for draining and leaving backend servers. */
    bool takesNewRequests() const { return !this->draining && !this->isLeaving(); }
    bool isEjected(Milliseconds now) const { return now < this->ejectedUntil; }
    unsigned failuresInARow() const { return this->failures; }
    unsigned ejections() const { return this->ejectionCount; }

    const LoadReport& report() const { return this->lastReport; }
    /** Requests in flight here from others, when the report was made. */
    double reportedOthers() const { return this->others; }
    /** False while the reports contradict what was sent from here. */
    bool reportIsTrusted(Milliseconds now) const { return now >= this->distrustedUntil; }
    const ServiceTimeEstimate& serviceTime() const { return this->serviceTimes; }
    /** Requests for each slot when one more is sent; at least 1. */
    double crowd() const;
    /** How long the oldest request has been in flight; zero with none. */
    Milliseconds oldestAge(Milliseconds now) const;

private:
    struct Flight {
        AttemptNumber attempt = 0;
        Milliseconds sentAt;
        double crowd = 1;
    };

    void learn(const AttemptEnd& end, const Flight& flight, Milliseconds now);
    void failed();
    void refused(Milliseconds now);

    std::string serverName;
    std::uint32_t nameHash;
    std::string serverDataCentre;
    NetworkAddress serverAddress;
    std::size_t slotCount = 0;
    bool draining = false;
    bool leaving = false;
    Milliseconds leavingAt = LongAgo;
    std::vector<Flight> flights;
    ConcurrencyLimit limit;
    bool adaptive = true;
    double mostInFlight = 1;
    ServiceTimeEstimate serviceTimes;
    LoadReport lastReport;
    double others = 0;
    Milliseconds distrustedUntil = LongAgo;
    unsigned refusals = 0; // in a row
    Milliseconds fullUntil = LongAgo;
    unsigned failures = 0;
    unsigned ejectionCount = 0;
    Milliseconds ejectedUntil = LongAgo;
};

}
