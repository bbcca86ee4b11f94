#pragma once

#include "Base/Random.h"
#include "Routing/AttemptResult.h"
#include "Routing/ServerNotice.h"
#include "Tests/Virtual/VirtualTime.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace burlreach {

/** What is wrong with a backend server. */
enum class ServerFault {
    None,
    Dead, // nobody listens at the address
    Dark, // the machine says nothing any more
    Hangs, // takes requests and never answers
    LosesAnswers, // runs requests and closes the connection instead of answering
    Refuses, // says that it did not run the request
    Fails, // answers 500 at once
    Slow, // work takes ten times as long
    Replaced // another backend server has the address
};

/** What a backend server told, and of which request. */
struct ServerWord {
    AttemptEnd end;
    std::string requestId;
    ServerNotice notice;
};

/**
 * A stand-in for a backend server: slots, a short queue, load figures, a
 * journal of what it ran.
 */
class VirtualBackendServer {
public:
    using Done = std::function<void(const ServerWord&)>;

    /** A request as it comes to the server. */
    struct Arrival {
        std::string requestId;
        std::string expectedServer;
        std::uint64_t attempt = 0;
        bool crashesServers = false; // the server's process ends when it has worked on it
    };

    struct Options {
        std::string id;
        std::size_t slots = 3;
        std::size_t queue = 6;
        Milliseconds work{ 20 };
        double workSpread = 0; // of the work of one request
        bool changesSpeedAtWork = false; // else a request keeps the speed at which it began
        double kneeUse = 1; // of its slots; with more taken all work there is slower
        double kneeFactor = 1; // how many times longer work then takes
        Milliseconds restart{ 3000 }; // after a crash the process is there again
    };

    VirtualBackendServer(Options options, VirtualTime& time, std::uint64_t seed);

    /** A request arrived; the word comes later, or never. */
    void receive(const Arrival& arrival, Done done);
    void cancel(std::uint64_t attempt);
    /** Nothing when it does not answer probes. */
    std::optional<ReportedLoad> probed() const;
    /** What it says of itself in each answer; a pause only where it turns something away. */
    ServerNotice notice(bool turnsAway) const
    {
        return { .isLeaving = this->leaving, .pause = turnsAway ? this->pause : Milliseconds{}, .limit = this->limit };
    }

    void setFault(ServerFault fault);
    /** Tells figures of an idle server, whatever is there. */
    void setFrozenReport(bool frozen) { this->reportIsFrozen = frozen; }
    /** Says in its answers that it is leaving. */
    void setLeaving(bool says) { this->leaving = says; }
    /** Asks for so long a pause when it turns something away: requests while it refuses or is full, probes while it
     * refuses. */
    void setPause(Milliseconds span) { this->pause = span; }
    /** Names in its answers how many requests a second it takes from all instances together; nothing: no limit. */
    void setLimit(std::optional<double> perSecond) { this->limit = perSecond; }
    /** How many times longer work takes for a while, as by a noisy neighbour. */
    void setNoise(double factor);
    ServerFault fault() const { return this->present; }
    const std::string& id() const { return this->options.id; }
    const std::map<std::string, int>& journal() const { return this->runs; }
    std::size_t arrivals() const { return this->arrivalCount; }
    /** When the process ended under a request that crashes servers. */
    const std::vector<Milliseconds>& crashes() const { return this->crashTimes; }

private:
    struct Job {
        std::string requestId;
        std::uint64_t attempt = 0;
        Done done;
        Milliseconds left; // of its work, at the usual speed
        bool crashesServers = false;
    };

    void startNext();
    double factorOfMoment() const;
    /** How many times longer what is left of the work takes at the moment. */
    double slowdown() const;
    /** Takes off what was done since the last change of speed. */
    void advance();
    /** Plans the next end of a request at the present speed. */
    void planNextEnd();
    void endFinished();
    void finish(const Job& job);
    void crash();
    void tell(const Job& job, AttemptResult result);
    ReportedLoad figures() const;

    Options options;
    VirtualTime* time;
    Random random;
    ServerFault present = ServerFault::None;
    double noise = 1;
    bool leaving = false;
    Milliseconds pause;
    std::optional<double> limit;
    bool reportIsFrozen = false;
    std::uint64_t plan = 0; // grows with each planned end; earlier ones count no more
    Milliseconds advancedAt;
    std::size_t arrivalCount = 0;
    std::vector<Milliseconds> crashTimes;
    std::map<std::uint64_t, Job> running;
    std::deque<Job> waiting;
    std::map<std::string, int> runs;
};

}
