#pragma once

#include "Base/Random.h"
#include "Routing/AttemptResult.h"
#include "Tests/Virtual/VirtualTime.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace burlreach {

/** What a fake backend server does wrong just now. */
struct BackendServerFaults {
    double slowness = 1; // factor on the time for a request
    bool failsFast = false;
    bool sheds = false;
    bool cutsAnswers = false; // after the request ran
    bool dead = false; // nothing is taken, nothing is answered
    bool reportsIdle = false; // its load report is frozen
};

/** A request as it reaches a fake backend server. */
struct BackendWork {
    std::uint64_t key = 0; // for cancelling
    std::string requestId; // kept in the journal when it is not empty
    Milliseconds cost;
    std::function<void(const AttemptEnd&)> done;
};

/** Fake backend server: slots, a bounded queue, load reports, a run journal. */
class VirtualBackendServer {
public:
    struct Options {
        std::string name;
        std::string dataCentre;
        std::size_t slots = 3;
        std::size_t queue = 30;
    };

    VirtualBackendServer(VirtualTime& time, Options options);

    void arrive(BackendWork work);
    /** Takes a request out that has not begun. */
    void cancel(std::uint64_t key);
    std::uint32_t load() const { return static_cast<std::uint32_t>(this->running + this->waiting.size()); }

    BackendServerFaults faults;
    bool leaving = false;
    double coldFactor = 1; // falls to 1 with each request
    std::map<std::string, int> journal;
    const Options& description() const { return this->options; }

private:
    void begin(BackendWork work);
    AttemptEnd end(AttemptResult result) const;

    VirtualTime* time;
    Options options;
    std::size_t running = 0;
    std::deque<BackendWork> waiting;
};

}
