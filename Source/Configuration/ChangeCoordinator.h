#pragma once

#include "Base/Milliseconds.h"
#include "Base/Random.h"
#include "Configuration/ChangeListener.h"
#include "Configuration/ConfigurationState.h"
#include "Exchange/Backoff.h"
#include "Exchange/Outbox.h"
#include "Exchange/StoreCallNumbers.h"

#include <deque>
#include <optional>
#include <vector>

namespace burlreach {

/**
 * Carries operators' changes into the platform's service and into force.
 *
 * One change at a time is read, applied and written by compare-and-swap. An
 * answer that was lost is resolved by reading again: the change is found by
 * its id, or the index has not moved and the same write is tried again, or the
 * index has moved and the lost write can no longer take effect. A committed
 * change is then followed until it is in force on every known instance.
 */
class ChangeCoordinator {
public:
    struct Options {
        std::string instanceName;
        Milliseconds storeAnswerTimeout{ 2000 };
        Milliseconds commitTimeout{ 8000 };
        Milliseconds inForceTimeout{ 5000 };
        Milliseconds queryInterval{ 500 };
    };

    ChangeCoordinator(Options options, const ConfigurationState& state, ChangeListener& listener,
        StoreCallNumbers& numbers, Random& random);

    void start(OperatorCallNumber call, const v1::ChangeRequest& request, Milliseconds now, Outbox& outbox);
    /** True when the answer belonged to a call of this object. */
    bool storeAnswered(const StoreAnswer& answer, Milliseconds now, Outbox& outbox);
    /** An instance told which revision is in force there. */
    void inForceChanged();
    void tick(Milliseconds now, Outbox& outbox);

private:
    enum class Phase {
        Pausing,
        Reading,
        Writing
    };

    /** The change that is being committed. */
    struct Commit {
        OperatorCallNumber call = 0;
        v1::ChangeRequest request;
        Phase phase = Phase::Pausing;
        Milliseconds nextStep; // of the pause, or when the store's answer is given up
        Milliseconds giveUp;
        StoreCallNumber storeCall = 0;
        v1::Configuration written;
        bool writeUncertain = false; // a write without an answer may still take effect
    };

    /** A committed change that is not yet in force everywhere. */
    struct Spreading {
        OperatorCallNumber call = 0;
        std::uint32_t revision = 0;
        Milliseconds nextQuery;
        Milliseconds giveUp;
    };

    void startNext(Milliseconds now, Outbox& outbox);
    void read(Milliseconds now, Outbox& outbox);
    void readAnswered(const StoreAnswer& answer, Milliseconds now, Outbox& outbox);
    void decide(v1::Configuration base, std::uint64_t index, Milliseconds now, Outbox& outbox);
    void write(const v1::Configuration& configuration, std::uint64_t index, Milliseconds now, Outbox& outbox);
    void writeAnswered(const StoreAnswer& answer, Milliseconds now);
    void pause(Milliseconds now);
    void committed(v1::Configuration configuration, std::uint32_t revision, Milliseconds now);
    void finish(const v1::ChangeAnswer& answer);
    void giveUpCommit();
    void tickCommit(Milliseconds now, Outbox& outbox);
    void tickSpreading(Milliseconds now);
    void answerSpread(const Spreading& spread, const std::vector<std::string>& missing);

    Options options;
    const ConfigurationState* state;
    ChangeListener* listener;
    StoreCallNumbers* numbers;
    Random* random;
    Backoff backoff;
    std::optional<Commit> commit;
    std::deque<Commit> waiting;
    std::vector<Spreading> spreading;
};

}
