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
 * Writes operators' changes to the store, in burlreach's native format.
 *
 * Changes are handled one at a time: the document is read, the change is applied, and the result is written on the
 * condition that the document has not changed since. The operator gets an answer after the store has acknowledged the
 * write. If the answer to a write is lost, the document is read again. Then either it contains the id of the change,
 * which is accepted; or its revision is unchanged and the same write is tried again; or its revision has changed, so
 * that the lost write can no longer take effect, and the change is applied to the new document.
 */
class ChangeCoordinator {
public:
    struct Options {
        std::string instanceName;
        std::string key; // of the document; empty: operators write to the store directly
        Milliseconds storeAnswerTimeout{ 2000 }; // for each call to the store
        Milliseconds commitTimeout{ 8000 }; // for a change, with all retries
    };

    ChangeCoordinator(Options options, ChangeListener& listener, StoreCallNumbers& numbers, Random& random);

    void start(OperatorCallNumber call, const v1::ChangeRequest& request, Milliseconds now);
    /** True when the answer belonged to a call of this object. */
    bool answered(const StoreAnswer& answer, Milliseconds now);
    /** The item written and acknowledged since the last call, so that this instance need not wait for its watch. */
    std::optional<StoreItem> takeWritten() { return std::exchange(this->written, std::nullopt); }
    /** The next call to the store, if one is due. */
    std::optional<StoreRequest> next(Milliseconds now);
    Milliseconds nextDue() const;

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
        Milliseconds nextStep = LongAgo; // end of the pause
        Milliseconds deadline; // deadline of the change
        StoreCallNumber storeCall = 0;
        std::optional<StoreRequest> toSend;
        std::uint32_t writtenRevision = 0;
        std::string writtenValue;
        bool isWriteUncertain = false; // a write without an answer may still take effect
    };

    void read();
    void readAnswered(const StoreAnswer& answer, Milliseconds now);
    void evaluate(const v1::Configuration& base, StoreRevision storedAt);
    void write(const v1::Configuration& configuration, StoreRevision expected);
    void writeAnswered(const StoreAnswer& answer, Milliseconds now);
    void prepareCall(StoreRequest request, Phase phase);
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
