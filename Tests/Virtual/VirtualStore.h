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

/** The size of an answer in bytes, with its values encoded as text. */
std::size_t bytesOf(const StoreAnswer& answer);

/** The fault that is injected into the store. */
enum class StoreFault {
    None,
    Down, // refuses every call
    Silent, // accepts calls and never answers
    Slow, // answers after half a second
    LosesAnswers // carries out calls but sends no answer
};

/**
 * An in-memory fake of the store, with a new revision for every change, a history that can be compacted, watches,
 * conditional writes, and faults for all instances or for some of them.
 */
class VirtualStore {
public:
    using Answer = std::function<void(const StoreAnswer&)>;

    struct Options {
        Milliseconds latency{ 4 };
        std::size_t page = 50;
        double linkBytesPerMillisecond = 0; // bandwidth that all answers share, sent one after another; 0: unlimited
        Milliseconds staleBehind; // age of the state that reads get which allow stale answers
    };

    VirtualStore(Options options, VirtualTime& time);

    /** Answers after the store's latency, or never if the fault in force prevents it. */
    void call(const std::string& instance, const StoreRequest& request, Answer answer);
    /** Writes unconditionally, as an operator or a backend server does; returns the new revision. */
    StoreRevision put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /** Cuts all watches and discards the history, so that watches can't resume from an earlier revision. */
    void forgetHistory();
    void setFault(StoreFault fault);
    /** Starts or stops rejecting the calls of this instance. */
    void setTurnedAway(const std::string& instance, bool turnedAway);

    StoreRevision revision() const { return this->last; }
    bool contains(const std::string& key) const
    {
        const auto found = this->items.find(key);
        return found != this->items.end() && !found->second.removed;
    }
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
    /** The contents of the store from one moment on. */
    struct State {
        std::map<std::string, StoreItem> items;
        StoreRevision revision = 0;
        Milliseconds since;
    };

    StoreAnswer range(const StoreRequest& request) const;
    /** The latest state that is at least Options::staleBehind old, or the oldest one if none is. */
    const State& staleState() const;
    void keepState();
    StoreAnswer write(const StoreRequest& request);
    std::vector<StoreItem> eventsFor(const StoreRequest& request) const;
    void wakeWatches();
    void note(const StoreItem& item);
    void reply(const Answer& answer, StoreAnswer given);
    /** The delay until this many bytes have been sent over the store's link, behind everything already queued. */
    Milliseconds throughLink(std::size_t bytes);

    Options options;
    VirtualTime* time;
    std::map<std::string, StoreItem> items;
    std::deque<State> states; // past states, kept only if Options::staleBehind is set
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
