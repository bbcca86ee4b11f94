#pragma once

#include "Base/Milliseconds.h"
#include "Exchange/Outbox.h"
#include "Ownership/SlotMap.h"
#include "peers.pb.h"

#include <memory>
#include <utility>
#include <vector>

namespace burlreach {

/**
 * The right to probe the backend servers of a slot. The slot's primary has it
 * while its backup keeps giving permits under the same version of the slot. A
 * new primary first waits until every permit of a former one has run out.
 * It needs no store: permits go on through the longest outage.
 */
class ProbePermits {
public:
    struct Options {
        std::uint64_t incarnation = 0;
        Milliseconds asked{ 1000 }; // between two requests
        Milliseconds valid{ 3000 }; // since the request was sent
        Milliseconds handover{ 4300 }; // valid, a window of the budget and a margin for clocks
    };

    explicit ProbePermits(Options options);

    void adopt(std::shared_ptr<const peers::Ownership> ownership, Milliseconds now);
    /** Only for these slots permits are asked. */
    void setUsedSlots(std::vector<bool> used) { this->usedSlots = std::move(used); }
    void requested(const peers::ProbePermitRequest& request, const peers::Incarnation& from, Outbox& outbox) const;
    void permitted(const peers::ProbePermit& permit, const peers::Incarnation& from);
    void tick(Milliseconds now, Outbox& outbox);
    bool mayProbe(std::size_t slot, Milliseconds now) const;

private:
    struct OwnedSlot {
        std::uint32_t version = 0;
        bool isPrimary = false;
        Milliseconds notBefore = Never;
        Milliseconds until = LongAgo;
    };

    struct Question {
        std::uint64_t number = 0;
        Milliseconds sentAt;
    };

    void ask(Milliseconds now, Outbox& outbox);

    Options options;
    std::shared_ptr<const peers::Ownership> ownership;
    std::vector<OwnedSlot> slots;
    std::vector<bool> usedSlots;
    std::vector<Question> questions;
    std::uint64_t lastNumber = 0;
    Milliseconds nextAsk = LongAgo;
};

}
