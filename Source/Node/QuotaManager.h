#pragma once

#include "Base/Random.h"
#include "Customers/CustomerTable.h"
#include "Metrics/DecisionCounters.h"
#include "Node/Actions.h"
#include "Node/RequestState.h"
#include "Node/ServiceTable.h"
#include "Node/StoreSynchronizer.h"
#include "Quotas/CreditIssuer.h"
#include "Quotas/CreditManager.h"
#include "Quotas/CreditShares.h"

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

namespace burlreach {

class GossipExchange;

/**
 * Enforces customers' request quotas across the whole fleet.
 *
 * A request of a limited customer needs credit. CreditManager collects the credit
 * that this instance needs and asks the holders of the credit shares, which the
 * store names. CreditShares decides which shares this instance holds and
 * assigns, and CreditIssuer limits what it grants from them. This class connects
 * the three and sends the messages between instances.
 */
class QuotaManager {
public:
    struct Options {
        peers::Member self;
        QuotaBound bound;
    };

    /** All must outlive this object. */
    struct Dependencies {
        const ServiceTable* services = nullptr;
        const StoreSynchronizer* store = nullptr;
        const GossipExchange* gossip = nullptr;
        StoreCallNumbers* storeCalls = nullptr;
        Random* random = nullptr;
        DecisionCounters* counters = nullptr;
    };

    QuotaManager(const Options& options, Dependencies parts);

    /** Requests credit for a new request; an awaited decision is returned later by takeSettled(). */
    CreditDecision requestCredit(RequestState& request, Milliseconds now);
    /** Checked before each send: true when the request's credit is still valid or can be replaced without waiting. */
    bool ensureCredit(RequestState& request, Milliseconds now);
    /** The request has ended; credit that it did not use is returned. */
    void requestEnded(const RequestState& request, Milliseconds now);
    /** Asks the holders of shares for outstanding credit; to be called after new requests. */
    void askForCredit(Milliseconds now, Actions& actions);
    /** The decisions made since the last call of this function. */
    std::vector<CreditManager::DecidedRequest> takeSettled() { return std::exchange(this->settled, {}); }

    void receive(const peers::PeerMessage& message, Milliseconds now, Actions& actions);
    void tick(Milliseconds now) { this->addSettled(this->creditManager.tick(now)); }
    Milliseconds nextDue() const { return this->creditManager.nextDue(); }

    /** Sets the minimum size of the fleet; empty while it is not known. */
    void setInstances(std::optional<std::size_t> count);
    /** Handles a changed item of the store; true when it is that of a credit share. */
    bool itemChanged(const StoreItem& item, Milliseconds now);
    /** The next store call about the credit shares, if one is needed; to be called until there is none. */
    std::optional<StoreRequest> nextStoreCall(bool isStopping, Milliseconds now);
    bool answered(const StoreAnswer& answer, Milliseconds now) { return this->creditShares.answered(answer, now); }
    std::optional<StoreItem> takeWritten() { return this->creditShares.takeWritten(); }
    Milliseconds nextControlDue() const { return this->creditShares.nextDue(); }

    /** The number of credit shares from which this instance grants now. */
    std::size_t grantedShares(Milliseconds now) const { return this->creditShares.countGranting(now); }
    v1::ShowCustomerAnswer show(const std::string& customer, Milliseconds now) const;
    /** The shares, and the customers with a limit, as far as this instance knows. */
    v1::ShowQuotasAnswer showQuotas(Milliseconds now) const;
    /** Appends a record for each share held here whose state has changed since the last call of this function. */
    void addStateRecords(Actions& actions);

private:
    /** The last known state of a share, as shown to operators. */
    struct ShareState {
        CreditShareLease::State state = CreditShareLease::State::Free;
        Milliseconds since;
        bool isLogged = true;
    };

    const Customer* customerOf(const RequestState& request) const;
    CreditGrant grantLocally(const CreditIssuer::Request& request, Milliseconds now);
    /** Grants to a query; no credit for an unknown customer, nullopt if this instance may not grant from the share. */
    std::optional<CreditGrant> answerQuery(const CreditIssuer::Request& request, Milliseconds now);
    /** Takes credit for one request from any share that this instance holds. */
    bool takeFromOwnShares(const Customer& customer, Milliseconds now);
    /** True when this instance may grant from the share. */
    bool isGranting(std::size_t share, Milliseconds now) const;
    /** Follows changes of the leases: starts buckets and updates the holders that are asked. */
    void updateShares(Milliseconds now);
    void sendQuery(const CreditManager::Query& query, Actions& actions) const;
    void handleAsk(const peers::CreditAsk& ask, Milliseconds now, Actions& actions);
    void addSettled(std::vector<CreditManager::DecidedRequest> more);
    void sendTo(const NetworkAddress& address, peers::PeerMessage message, Actions& actions) const;

    Options options;
    Dependencies dependencies;
    CreditManager creditManager;
    CreditIssuer creditIssuer;
    CreditShares creditShares;
    std::array<ShareState, CreditShareCount> shareStates;
    std::optional<std::size_t> fleetAtLeast;
    std::vector<CreditManager::DecidedRequest> settled;
};

}
