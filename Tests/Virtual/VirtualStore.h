#pragma once

#include "Store/StoreCall.h"
#include "Tests/Virtual/VirtualTime.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace burlreach {

/** Of an answer, with values as text. */
std::size_t bytesOf(const StoreAnswer& answer);

/** What is wrong with the store. */
enum class StoreFault {
    None,
    Down, // refuses every call
    Silent, // answers nothing
    Slow, // answers take half a second
    LosesAnswers // does what it is asked and says nothing
};

/**
 * A stand-in for the store: one revision for every change, a history that can
 * be forgotten, watches, conditional writes, and faults, also for some
 * instances only.
 */
class VirtualStore {
public:
    using Answer = std::function<void(const StoreAnswer&)>;

    struct Options {
        Milliseconds latency{ 4 };
        std::size_t page = 50;
        double linkBytesPerMillisecond = 0; // that all answers share, one after another; 0: endless
        Milliseconds staleBehind; // how old an answer is that may be stale
    };

    VirtualStore(Options options, VirtualTime& time);

    /** The answer comes later, or never. */
    void call(const std::string& instance, const StoreRequest& request, Answer answer);
    /** As an operator or a backend server writes; gives the revision. */
    StoreRevision put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /** Watches hear nothing any more and are cut; the changes so far are no longer known one by one. */
    void forgetHistory();
    void setFault(StoreFault fault);
    /** Turns this instance away, or no longer. */
    void setTurnedAway(const std::string& instance, bool turnedAway);

    StoreRevision revision() const { return this->last; }
    std::size_t calls() const { return this->callCount; }
    std::size_t staleReadings() const { return this->staleCount; }
    std::size_t callsOf(StoreOperation operation) const { return this->byOperation.at(operation); }

private:
    struct Waiting {
        std::uint64_t number = 0;
        std::string instance;
        StoreRequest request;
        Answer answer;
    };

    bool isTurnedAway(const std::string& instance) const { return this->turnedAway.contains(instance); }
    void serve(const std::string& instance, const StoreRequest& request, const Answer& answer);
    void watch(const std::string& instance, const StoreRequest& request, const Answer& answer);
    /** What the store held at some moment. */
    struct State {
        std::map<std::string, StoreItem> items;
        StoreRevision revision = 0;
        Milliseconds since;
    };

    StoreAnswer range(const StoreRequest& request) const;
    /** The latest state that is as old as a stale answer, else the first one. */
    const State& staleState() const;
    void keepState();
    StoreAnswer write(const StoreRequest& request);
    std::vector<StoreItem> eventsFor(const StoreRequest& request) const;
    void wakeWatches();
    void note(const StoreItem& item);
    void reply(const Answer& answer, StoreAnswer given);
    /** From now on, until so many bytes are through the store's link behind all before them. */
    Milliseconds throughLink(std::size_t bytes);

    Options options;
    VirtualTime* time;
    std::map<std::string, StoreItem> items;
    std::deque<State> states; // earlier ones, while answers may be stale
    std::deque<StoreItem> history;
    StoreRevision last = 0;
    StoreRevision forgottenThrough = 0;
    StoreFault fault = StoreFault::None;
    std::set<std::string> turnedAway;
    std::vector<Waiting> watches;
    std::uint64_t lastWatch = 0;
    Milliseconds linkBusyUntil = LongAgo;
    std::size_t callCount = 0;
    std::size_t staleCount = 0;
    std::map<StoreOperation, std::size_t> byOperation{ { StoreOperation::ReadRange, 0 }, { StoreOperation::Watch, 0 },
        { StoreOperation::Write, 0 } };
};

}
