#include "Ownership/ClaimClient.h"

#include "Exchange/MemberAddress.h"
#include "Ownership/SlotMap.h"

#include <algorithm>
#include <utility>

namespace burlreach {

ClaimClient::ClaimClient(Options givenOptions, peers::Member givenSelf)
    : options(givenOptions)
    , self(std::move(givenSelf))
    , ownership(std::make_shared<const peers::Ownership>())
{
}

void ClaimClient::begin(const ClaimRequest& request, Milliseconds now, Outbox& outbox)
{
    this->pending.push_back(
        { .request = request, .repeatAt = now + this->options.firstRepeat, .gap = this->options.firstRepeat });
    this->send(request, false, outbox);
}

void ClaimClient::end(std::uint64_t number)
{
    std::erase_if(this->pending, [number](const Pending& item) { return item.request.number == number; });
}

void ClaimClient::close(const ClaimRequest& request, Outbox& outbox)
{
    this->end(request.number);
    this->send(request, true, outbox);
}

void ClaimClient::adopt(std::shared_ptr<const peers::Ownership> next, Milliseconds now, Outbox& outbox)
{
    this->ownership = std::move(next);
    for (Pending& item : this->pending) {
        item.gap = this->options.firstRepeat;
        item.repeatAt = now + item.gap;
        this->send(item.request, false, outbox);
    }
}

void ClaimClient::tick(Milliseconds now, Outbox& outbox)
{
    for (Pending& item : this->pending) {
        if (now < item.repeatAt)
            continue;
        item.gap = std::min(item.gap * 2, this->options.longestRepeat);
        item.repeatAt = now + item.gap;
        this->send(item.request, false, outbox);
    }
}

void ClaimClient::send(const ClaimRequest& request, bool close, Outbox& outbox) const
{
    const std::size_t slot = slotOf(request.requestId);
    const peers::Member* primary = primaryOf(*this->ownership, slot);
    if (!primary)
        return;
    peers::PeerMessage message;
    peers::Claim* claim = message.mutable_claim();
    claim->set_slot_epoch(this->ownership->slots(static_cast<int>(slot)).changed_epoch());
    claim->set_request_id(request.requestId);
    claim->set_attempt(request.attempt);
    *claim->mutable_claimant() = this->self.incarnation();
    claim->set_claimant_address(this->self.address());
    claim->set_claimant_port(this->self.port());
    claim->set_number(request.number);
    claim->set_close(close);
    claim->set_issued(request.issued);
    outbox.sendToPeer(addressOf(*primary), std::move(message));
}

}
