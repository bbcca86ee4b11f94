#pragma once

#include "Base/Random.h"
#include "Customers/CustomerTable.h"
#include "Metrics/DecisionCounters.h"
#include "Node/Actions.h"
#include "Node/RequestState.h"
#include "Node/ServiceTable.h"
#include "Node/StoreKeeper.h"
#include "Quotas/CreditDesk.h"
#include "Quotas/CreditGrants.h"
#include "Quotas/GrantorTenure.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace burlreach {

class NewsExchange;

/**
 * Keeps customers within their limits over the whole fleet: joins the credit
 * that this instance wants, the credit that it grants when the store names it
 * for that, and the messages between the two.
 */
class QuotaDesk {
public:
    struct Options {
        peers::Member self;
        QuotaBound bound;
    };

    /** All outlive this object. */
    struct Parts {
        const ServiceTable* services = nullptr;
        const StoreKeeper* store = nullptr;
        const NewsExchange* news = nullptr;
        StoreCallNumbers* storeCalls = nullptr;
        Random* random = nullptr;
        DecisionCounters* counters = nullptr;
    };

    QuotaDesk(const Options& options, Parts parts);

    /** Credit for a request that comes now; an awaited one is settled by takeSettled(). */
    CreditDecision request(RequestState& request, Milliseconds now);
    /** Before a send: true when its credit still counts, or there is other credit for it here. */
    bool mayStillSend(RequestState& request, Milliseconds now);
    /** The request is over, with or without having reached a backend server. */
    void ended(const RequestState& request, Milliseconds now);
    /** Asks for credit that is wanted; to be called after requests came. */
    void askForCredit(Milliseconds now, Actions& actions);
    /** Requests whose credit was decided since the last call. */
    std::vector<CreditDesk::Settled> takeSettled() { return std::exchange(this->settled, {}); }

    void receive(const peers::PeerMessage& message, Milliseconds now, Actions& actions);
    void tick(Milliseconds now) { this->add(this->desk.tick(now)); }
    Milliseconds nextDue() const { return this->desk.nextDue(); }

    /** How many instances there are at least. */
    void setInstances(std::optional<std::size_t> count) { this->desk.setInstances(count); }
    /** The call to the store that names this instance, or gives the naming up, if one is needed. */
    std::optional<StoreRequest> nextCall(bool isStopping, Milliseconds now);
    bool answered(const StoreAnswer& answer, Milliseconds now) { return this->tenure.answered(answer, now); }
    std::optional<StoreItem> takeWritten() { return this->tenure.takeWritten(); }
    Milliseconds nextControlDue() const { return this->tenure.nextDue(); }

    GrantMode mode(Milliseconds now) const;
    v1::ShowCustomerAnswer show(const std::string& customer, Milliseconds now) const;

private:
    const Customer* customerOf(const RequestState& request) const;
    CreditGrant grantFromHere(const Customer& customer, unsigned requests, Milliseconds now);
    void asked(const peers::CreditAsk& ask, Milliseconds now, Actions& actions);
    void add(std::vector<CreditDesk::Settled> more);
    void sendTo(const NetworkAddress& address, peers::PeerMessage message, Actions& actions) const;

    Options options;
    Parts parts;
    CreditDesk desk;
    CreditGrants grants;
    GrantorTenure tenure;
    std::vector<CreditDesk::Settled> settled;
};

}
