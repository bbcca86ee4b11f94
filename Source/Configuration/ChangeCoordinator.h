#pragma once

#include "Base/Milliseconds.h"
#include "Base/Random.h"
#include "Configuration/ChangeListener.h"
#include "Exchange/Backoff.h"
#include "Store/StoreCall.h"
#include "Store/StoreCallNumbers.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace burlreach {

/**
 * Writes operators' changes into the store, in burlreach's own form.
 *
 * One change at a time is read, applied and written under the condition that
 * the document has not changed since. The store's acknowledgement is what the
 * operator gets. An answer that was lost is resolved by reading again: the
 * change is found by its id, or the condition still holds and the same write
 * is tried again, or the document moved on and the lost write can no longer
 * take effect.
 */
class ChangeCoordinator {
public:
    struct Options {
        std::string instanceName;
        std::string key; // of the document; empty: operators write to the store themselves
        Milliseconds storeAnswerTimeout{ 2000 };
        Milliseconds commitTimeout{ 8000 };
    };

    ChangeCoordinator(Options options, ChangeListener& listener, StoreCallNumbers& numbers, Random& random);

    void start(OperatorCallNumber call, const v1::ChangeRequest& request, Milliseconds now);
    /** True when the answer belonged to a call of this object. */
    bool answered(const StoreAnswer& answer, Milliseconds now);
    /** What was written and acknowledged since the last call; this instance need not wait to hear of it. */
    std::optional<StoreItem> takeWritten() { return std::exchange(this->written, std::nullopt); }
    /** The next call, if it is time for one. */
    std::optional<StoreRequest> next(Milliseconds now);
    Milliseconds nextDue() const;

private:
    enum class Phase {
        Pausing,
        Reading,
        Writing
    };

    /** The change that is being written. */
    struct Commit {
        OperatorCallNumber call = 0;
        v1::ChangeRequest request;
        Phase phase = Phase::Pausing;
        Milliseconds nextStep = LongAgo; // end of the pause
        Milliseconds giveUp;
        StoreCallNumber storeCall = 0;
        std::optional<StoreRequest> toSend;
        std::uint32_t writtenRevision = 0;
        std::string writtenValue;
        bool writeUncertain = false; // a write without an answer may still take effect
    };

    void read();
    void readAnswered(const StoreAnswer& answer, Milliseconds now);
    void decide(const v1::Configuration& base, StoreRevision storedAt);
    void write(const v1::Configuration& configuration, StoreRevision expected);
    void writeAnswered(const StoreAnswer& answer, Milliseconds now);
    void ask(StoreRequest request, Phase phase);
    void pause(Milliseconds now);
    void accept(std::uint32_t revision);
    void finish(const v1::ChangeAnswer& answer);
    void giveUp();

    Options options;
    ChangeListener* listener;
    StoreCallNumbers* numbers;
    Random* random;
    Backoff backoff;
    std::optional<Commit> commit;
    std::deque<Commit> waiting;
    std::optional<StoreItem> written;
};

}
