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
    , grantorLease({ .self = givenOptions.self }, *givenParts.storeCalls, *givenParts.random)
{
}

GrantMode QuotaManager::mode(Milliseconds now) const
{
    return this->grantorLease.mode(now);
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
    if (const auto holder = this->grantorLease.holder())
        answer.set_granted_by(holder->incarnation().name());
    answer.set_granted(static_cast<std::uint32_t>(this->creditIssuer.granted(found->name, now)));
    return answer;
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
    if (!request.creditGrantedAt && this->grantLocally(*customer, 1, now).amount)
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

CreditGrant QuotaManager::grantLocally(const Customer& customer, unsigned requests, Milliseconds now)
{
    const CreditGrant grant = this->creditIssuer.grant(customer, requests, this->mode(now), now);
    this->dependencies.counters->add(DecisionCount::CreditsGranted, grant.amount);
    return grant;
}

void QuotaManager::askForCredit(Milliseconds now, Actions& actions)
{
    const std::vector<CreditManager::Query> asks = this->creditManager.takeQueries(now);
    if (asks.empty())
        return;
    const auto holder = this->grantorLease.holder();
    const bool isHere = this->mode(now) != GrantMode::None;
    if (!isHere && (!holder || holder->incarnation().name() == this->options.self.incarnation().name()))
        return this->addSettled(this->creditManager.refuseAllWaiting(now));
    for (const CreditManager::Query& ask : asks) {
        this->dependencies.counters->add(DecisionCount::CreditsAsked, ask.requests);
        const Customer* customer = this->dependencies.services->customers().byName(ask.customer);
        if (isHere && customer) {
            this->addSettled(
                this->creditManager.answered({ .number = ask.number,
                                                 .customer = ask.customer,
                                                 .grant = this->grantLocally(*customer, ask.requests, now) },
                    now));
            continue;
        }
        if (!holder)
            continue;
        peers::PeerMessage message;
        peers::CreditAsk& asked = *message.mutable_credit_ask();
        asked.set_number(ask.number);
        asked.set_customer(ask.customer);
        asked.set_requests(ask.requests);
        asked.set_reply_to(addressOf(this->options.self).packed());
        this->sendTo(addressOf(*holder), std::move(message), actions);
    }
}

void QuotaManager::handleAsk(const peers::CreditAsk& ask, Milliseconds now, Actions& actions)
{
    const auto address = unpackNetworkAddress(ask.reply_to());
    if (!address)
        return this->dependencies.counters->add(DecisionCount::PeerMessagesRefused);
    const Customer* customer = this->dependencies.services->customers().byName(ask.customer());
    const bool isGranting = this->mode(now) != GrantMode::None;
    CreditGrant grant;
    if (isGranting && customer)
        grant = this->grantLocally(*customer, ask.requests(), now);
    peers::PeerMessage message;
    peers::CreditAnswer& answer = *message.mutable_credit_answer();
    answer.set_number(ask.number());
    answer.set_customer(ask.customer());
    answer.set_requests(grant.amount);
    const double wait = std::clamp(grant.wait.count, 0.0, MaxWaitMilliseconds);
    answer.set_wait_milliseconds(static_cast<std::uint32_t>(wait));
    answer.set_not_granting(!isGranting);
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
}

std::optional<StoreRequest> QuotaManager::nextStoreCall(bool isStopping, Milliseconds now)
{
    const auto heard = [this](const std::string& name) -> std::optional<CreditGrantorLease::LastMessage> {
        const KnownMember* known = this->dependencies.gossip->findMember(name);
        if (!known)
            return std::nullopt;
        return CreditGrantorLease::LastMessage{ .member = known->member, .at = known->heardAt };
    };
    auto call
        = this->grantorLease.next({ .stored = this->dependencies.store->view().find(GrantorKey),
                                      .leads = this->dependencies.gossip->isLeadingWatcher(now),
                                      .isWatching = this->dependencies.store->isWatching(),
                                      .isNeeded = this->dependencies.services->hasLimitedCustomers() && !isStopping,
                                      .isGrantorUnresponsive = this->creditManager.isGrantorUnresponsive(now),
                                      .findLastMessage = heard },
            now);
    if (const auto begun = this->grantorLease.takeBegun())
        this->creditIssuer.begin(this->grantorLease.isFirst(), *begun);
    return call;
}

}
