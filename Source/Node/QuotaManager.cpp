#include "Node/QuotaManager.h"

#include "Node/GossipExchange.h"
#include "Node/PeerEnvelope.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <utility>

namespace burlreach {

namespace {

/** Upper bound of the waiting time sent to another instance, in milliseconds. */
constexpr double MaxWaitMilliseconds = 60000;

}

QuotaManager::QuotaManager(const Options& givenOptions, Dependencies givenParts)
    : options(givenOptions)
    , dependencies(givenParts)
    , creditManager({ .bound = givenOptions.bound }, *givenParts.random)
    , creditIssuer(givenOptions.bound)
    , creditShares({ .lease = { .self = givenOptions.self }, .assigner = { .self = givenOptions.self } },
          *givenParts.storeCalls, *givenParts.random)
{
}

void QuotaManager::setInstances(std::optional<std::size_t> count)
{
    this->fleetAtLeast = count;
    this->creditManager.setInstances(count);
}

bool QuotaManager::isGranting(std::size_t share, Milliseconds now) const
{
    if (share >= CreditShareCount || (share && this->creditShares.isWholeQuotaHeld()))
        return false;
    return this->creditShares.leases()[share].isGranting(now);
}

v1::ShowCustomerAnswer QuotaManager::show(const std::string& customer, Milliseconds now) const
{
    v1::ShowCustomerAnswer answer;
    const Customer* found = this->dependencies.services->customers().byName(customer);
    if (!found) {
        v1::Finding* finding = answer.add_findings();
        finding->set_place("/customer");
        finding->set_message("there is no customer \"" + customer + "\"; write the name as it was set");
        return answer;
    }
    answer.set_customer(found->name);
    answer.set_keys(static_cast<std::uint32_t>(found->keys.size()));
    answer.set_requests_per_second(found->limit.requestsPerSecond);
    answer.set_burst(found->limit.burst);
    if (const peers::Member* holder = this->creditShares.leases().front().holder())
        answer.set_granted_by(holder->incarnation().name());
    answer.set_granted(static_cast<std::uint32_t>(this->creditIssuer.granted(found->name, now)));
    const CreditManager::RefusalCounts refused = this->creditManager.refusals(found->name);
    answer.set_refused_exceeded(refused.exceeded);
    answer.set_refused_unconfirmed(refused.unconfirmed);
    return answer;
}

v1::ShowQuotasAnswer QuotaManager::showQuotas(Milliseconds now) const
{
    v1::ShowQuotasAnswer answer;
    for (std::size_t share = 0; share < CreditShareCount; ++share) {
        const ShareState& known = this->shareStates.at(share);
        v1::CreditShare& shown = *answer.add_shares();
        shown.set_share(static_cast<std::uint32_t>(share));
        if (const peers::Member* holder = this->creditShares.leases()[share].holder())
            shown.set_holder(holder->incarnation().name());
        shown.set_state(std::string(nameOf(known.state)));
        constexpr double longest = 4e9;
        const double age = std::clamp((now - known.since).count, 0.0, longest);
        shown.set_state_milliseconds(static_cast<std::uint32_t>(age));
    }
    for (const Customer& customer : this->dependencies.services->customers().all()) {
        if (customer.limit.isSet())
            *answer.add_customers() = this->show(customer.name, now);
    }
    return answer;
}

void QuotaManager::addStateRecords(Actions& actions)
{
    for (std::size_t share = 0; share < CreditShareCount; ++share) {
        ShareState& known = this->shareStates.at(share);
        const bool isOfOthers
            = known.state == CreditShareLease::State::Held || known.state == CreditShareLease::State::Free;
        if (!known.isLogged && !isOfOthers) {
            actions.emplace_back(knowledgeRecord("credit_share", this->options.self.incarnation().name())
                                     .with("share", std::uint64_t{ share })
                                     .with("state", nameOf(known.state)));
        }
        known.isLogged = true;
    }
}

const Customer* QuotaManager::customerOf(const RequestState& request) const
{
    const Customer* customer = this->dependencies.services->customers().byName(request.identity.customer);
    return customer && customer->limit.isSet() ? customer : nullptr;
}

CreditDecision QuotaManager::requestCredit(RequestState& request, Milliseconds now)
{
    const Customer* customer = this->customerOf(request);
    if (!customer)
        return { .outcome = CreditDecision::Outcome::Granted, .grantedAt = now, .retryAfter = {} };
    const CreditDecision decision = this->creditManager.request(request.number, *customer, now);
    if (decision.outcome == CreditDecision::Outcome::Granted)
        request.creditGrantedAt = decision.grantedAt;
    return decision;
}

bool QuotaManager::ensureCredit(RequestState& request, Milliseconds now)
{
    // Credit counts as used once an attempt may have run, so a retry needs no new credit.
    if (!request.creditGrantedAt || request.history.mayHaveRun || now - *request.creditGrantedAt < CreditLife)
        return true;
    const Customer* customer = this->customerOf(request);
    if (!customer)
        return true;
    request.creditGrantedAt = this->creditManager.takeLocal(*customer, now);
    if (!request.creditGrantedAt && this->takeFromOwnShares(*customer, now))
        request.creditGrantedAt = now;
    return request.creditGrantedAt.has_value();
}

void QuotaManager::requestEnded(const RequestState& request, Milliseconds now)
{
    if (request.phase == RequestPhase::AwaitingCredit)
        this->creditManager.forget(request.number, request.identity.customer);
    else if (request.creditGrantedAt && !request.history.mayHaveRun)
        this->creditManager.giveBack(request.identity.customer, *request.creditGrantedAt, now);
}

void QuotaManager::addSettled(std::vector<CreditManager::DecidedRequest> more)
{
    this->settled.insert(this->settled.end(), more.begin(), more.end());
}

void QuotaManager::sendTo(const NetworkAddress& address, peers::PeerMessage message, Actions& actions) const
{
    actions.emplace_back(makeSendToPeer(address, this->options.self.incarnation(), std::move(message)));
}

CreditGrant QuotaManager::grantLocally(const CreditIssuer::Request& request, Milliseconds now)
{
    const CreditGrant grant = this->creditIssuer.grant(request, now);
    this->dependencies.counters->add(DecisionCount::CreditsGranted, grant.amount);
    return grant;
}

bool QuotaManager::takeFromOwnShares(const Customer& customer, Milliseconds now)
{
    for (std::size_t share = 0; share < CreditShareCount; ++share) {
        const CreditIssuer::Request request{ .customer = &customer, .share = share, .wanted = 1 };
        if (this->isGranting(share, now) && this->grantLocally(request, now).amount)
            return true;
    }
    return false;
}

void QuotaManager::sendQuery(const CreditManager::Query& query, Actions& actions) const
{
    const peers::Member* holder = this->creditShares.leases()[query.share].holder();
    if (!holder)
        return;
    peers::PeerMessage message;
    peers::CreditAsk& ask = *message.mutable_credit_ask();
    ask.set_number(query.number);
    ask.set_customer(query.customer);
    ask.set_requests(query.requests);
    ask.set_share(static_cast<std::uint32_t>(query.share));
    ask.set_reply_to(addressOf(this->options.self).packed());
    this->sendTo(addressOf(*holder), std::move(message), actions);
}

std::optional<CreditGrant> QuotaManager::answerQuery(const CreditIssuer::Request& request, Milliseconds now)
{
    if (!this->isGranting(request.share, now))
        return std::nullopt;
    return request.customer ? this->grantLocally(request, now) : CreditGrant{};
}

void QuotaManager::askForCredit(Milliseconds now, Actions& actions)
{
    // An answer of this instance's own share may lead to a query to another share.
    for (bool isAnswered = true; isAnswered;) {
        isAnswered = false;
        for (const CreditManager::Query& query : this->creditManager.takeQueries(now)) {
            this->dependencies.counters->add(DecisionCount::CreditsAsked, query.requests);
            const Customer* customer = this->dependencies.services->customers().byName(query.customer);
            const peers::Member* holder = this->creditShares.leases()[query.share].holder();
            if (holder && !isSameIncarnation(*holder, this->options.self)) {
                this->sendQuery(query, actions);
                continue;
            }
            const auto grant
                = this->answerQuery({ .customer = customer, .share = query.share, .wanted = query.requests }, now);
            this->addSettled(this->creditManager.answered({ .number = query.number,
                                                              .customer = query.customer,
                                                              .grant = grant.value_or(CreditGrant{}),
                                                              .isGranting = grant.has_value() },
                now));
            isAnswered = true;
        }
    }
}

void QuotaManager::handleAsk(const peers::CreditAsk& ask, Milliseconds now, Actions& actions)
{
    const auto address = unpackNetworkAddress(ask.reply_to());
    if (!address)
        return this->dependencies.counters->add(DecisionCount::PeerMessagesRefused);
    const Customer* customer = this->dependencies.services->customers().byName(ask.customer());
    const auto answered
        = this->answerQuery({ .customer = customer, .share = ask.share(), .wanted = ask.requests() }, now);
    const CreditGrant grant = answered.value_or(CreditGrant{});
    peers::PeerMessage message;
    peers::CreditAnswer& answer = *message.mutable_credit_answer();
    answer.set_number(ask.number());
    answer.set_customer(ask.customer());
    answer.set_requests(grant.amount);
    const double wait = std::clamp(grant.wait.count, 0.0, MaxWaitMilliseconds);
    answer.set_wait_milliseconds(static_cast<std::uint32_t>(wait));
    answer.set_not_granting(!answered);
    this->sendTo(*address, std::move(message), actions);
}

void QuotaManager::receive(const peers::PeerMessage& message, Milliseconds now, Actions& actions)
{
    if (message.version() != PeerProtocolVersion)
        return this->dependencies.counters->add(DecisionCount::PeerMessagesRefused);
    if (message.has_credit_ask())
        return this->handleAsk(message.credit_ask(), now, actions);
    const peers::CreditAnswer& answer = message.credit_answer();
    const Milliseconds wait{ static_cast<double>(answer.wait_milliseconds()) };
    this->addSettled(this->creditManager.answered({ .number = answer.number(),
                                                      .customer = answer.customer(),
                                                      .grant = { .amount = answer.requests(), .wait = wait },
                                                      .isGranting = !answer.not_granting() },
        now));
    // Another share may have the rest.
    this->askForCredit(now, actions);
}

bool QuotaManager::itemChanged(const StoreItem& item, Milliseconds now)
{
    if (!this->creditShares.itemChanged(item, now))
        return false;
    this->updateShares(now);
    return true;
}

void QuotaManager::updateShares(Milliseconds now)
{
    CreditManager::Holders holders;
    for (std::size_t share = 0; share < CreditShareCount; ++share) {
        CreditShareLease& lease = this->creditShares.leases()[share];
        if (const auto since = lease.takeBegun())
            this->creditIssuer.begin(share, *since);
        ShareState& known = this->shareStates.at(share);
        const CreditShareLease::State state = lease.state(now);
        if (state != known.state)
            known = { .state = state, .since = now, .isLogged = false };
        const peers::Member* holder = lease.holder();
        const bool isHere = lease.isHeldHere();
        // A holder that waits, here or elsewhere, cannot grant yet.
        if (holder && holder->port() && (!isHere || lease.isGranting(now)))
            holders.at(share) = { .instance = holder->incarnation().name(), .isHere = isHere };
    }
    this->creditManager.setHolders(std::move(holders));
}

std::optional<StoreRequest> QuotaManager::nextStoreCall(bool isStopping, Milliseconds now)
{
    const GossipExchange& gossip = *this->dependencies.gossip;
    const std::uint64_t checksBefore = this->creditShares.checks();
    auto call = this->creditShares.next({ .isNeeded = this->dependencies.services->hasLimitedCustomers() && !isStopping,
                                            .hasView = this->dependencies.store->view().revision() != 0,
                                            .instances = gossip.instances(now),
                                            .fleet = { .leads = gossip.isLeadingWatcher(now),
                                                .fleetAtLeast = this->fleetAtLeast,
                                                .members = gossip.knownInstances() } },
        now);
    this->dependencies.counters->add(DecisionCount::CreditShareChecks, this->creditShares.checks() - checksBefore);
    const auto& leases = std::as_const(this->creditShares).leases();
    const bool hasChanged = !std::equal(leases.begin(), leases.end(), this->shareStates.begin(),
        [now](const CreditShareLease& lease, const ShareState& known) { return lease.state(now) == known.state; });
    if (hasChanged)
        this->updateShares(now);
    return call;
}

}
