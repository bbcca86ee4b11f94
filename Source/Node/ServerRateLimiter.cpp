#include "Node/ServerRateLimiter.h"

#include "Node/GossipExchange.h"
#include "Node/PeerEnvelope.h"
#include "Node/ServiceTable.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace burlreach {

namespace {

/** Statements in one message, the latest first: about 4 KB. */
constexpr std::size_t MaxStatementsPerMessage = 100;
/** Upper bound of durations sent to other instances, in milliseconds. */
constexpr double MaxDurationMilliseconds = 60000;
/** Requests per second. Limits are capped at this, so that intervals between permits stay finite and above zero. */
constexpr double MaxRequestsPerSecond = 1e6;

std::uint32_t wholeMilliseconds(Milliseconds duration)
{
    return static_cast<std::uint32_t>(std::clamp(duration.count, 0.0, MaxDurationMilliseconds));
}

}

ServerRateLimiter::ServerRateLimiter(Options givenOptions, Dependencies givenParts)
    : options(std::move(givenOptions))
    , dependencies(givenParts)
{
}

std::shared_ptr<BackendServerState> ServerRateLimiter::serverOf(const std::string& id, std::uint64_t life) const
{
    auto server = this->dependencies.services->backendServer(id);
    return server && server->record().life == life ? server : nullptr;
}

void ServerRateLimiter::handleNotice(const ServerNoticed& event, Milliseconds now, Actions& actions)
{
    if (!event.notice.limit)
        return;
    const double perSecond = std::min(*event.notice.limit, MaxRequestsPerSecond);
    const LimitChange change
        = this->dependencies.book->recordLimit(event.backendServer, event.life, perSecond, event.sentAt, now);
    this->apply(event.backendServer, event.life);
    this->handleChange(event.backendServer, change, Origin::Answer, now, actions);
}

void ServerRateLimiter::answered(BackendServerState& server, Milliseconds sentAt, Milliseconds now, Actions& actions)
{
    const std::uint64_t life = server.record().life;
    const LimitChange change = this->dependencies.book->recordAnswer(server.id(), life, sentAt);
    if (change == LimitChange::None)
        return;
    this->apply(server.id(), life);
    this->handleChange(server.id(), change, Origin::Answer, now, actions);
}

void ServerRateLimiter::apply(const std::string& backendServer, std::uint64_t life)
{
    const auto server = this->serverOf(backendServer, life);
    const LimitReport* statement = this->dependencies.book->find(backendServer, life);
    if (!server || !statement)
        return;
    if (statement->perSecond)
        server->permits().setLimited(statement->at);
    else
        server->permits().lift();
}

void ServerRateLimiter::scheduleReport(const std::string& backendServer, Milliseconds now)
{
    if (this->unreported.empty())
        this->reportAt = now + this->options.maxReportDelay * this->dependencies.random->unit();
    this->unreported.insert(backendServer);
}

void ServerRateLimiter::handleChange(
    const std::string& backendServer, LimitChange change, Origin origin, Milliseconds now, Actions& actions)
{
    if (origin == Origin::Gossip)
        this->unreported.erase(backendServer);
    const LimitReport* statement = this->dependencies.book->find(backendServer);
    if (change == LimitChange::None || change == LimitChange::Adjusted || !statement)
        return;
    this->changed = true;
    // A report from one peer is forwarded only by instances that watch the store; their updates go to all instances.
    if (origin == Origin::Answer || (origin == Origin::Peer && this->dependencies.gossip->isWatching()))
        this->scheduleReport(backendServer, now);
    DecisionRecord record = knowledgeRecord(statement->perSecond ? "limit_named" : "limit_ended", backendServer)
                                .with("heard_from", origin == Origin::Answer ? "server" : "news");
    if (statement->perSecond) {
        record.with("per_second", *statement->perSecond);
        this->dependencies.counters->add(DecisionCount::LimitsNamed);
        // Attempts that were assigned to the server but not yet written to a connection have no permit.
        actions.emplace_back(StopSendingTo{ .backendServer = backendServer, .keepsConnections = true });
    }
    actions.emplace_back(std::move(record));
}

std::vector<BackendServerState*> ServerRateLimiter::serversToAsk(
    const ServiceState& service, bool onlyOld, Milliseconds now) const
{
    std::vector<BackendServerState*> found;
    for (const auto& server : service.pool.servers()) {
        const SendPermits& permits = server->permits();
        const bool isWanted = permits.isLimited() && (!onlyOld || permits.isLimitStale(now));
        if (isWanted && permits.mayRequestPermit(now) && server->takesNewRequests() && !server->isPaused(now))
            found.push_back(server.get());
    }
    return found;
}

bool ServerRateLimiter::requestQueued(
    const ServiceState& service, Milliseconds patience, Milliseconds now, Actions& actions)
{
    if (this->dependencies.book->all().empty())
        return false;
    // At most one permit for each queued request and for the one just taken from the queue; more would go unused.
    const auto all = service.pool.servers();
    const auto expected = std::count_if(
        all.begin(), all.end(), [now](const auto& server) { return server->permits().isExpected(now); });
    if (static_cast<std::size_t>(expected) > service.queue.size())
        return false;
    const auto servers = this->serversToAsk(service, false, now);
    return !servers.empty()
        && this->ask(*servers[this->dependencies.random->below(servers.size())], std::max(patience, Milliseconds{}),
            now, actions);
}

void ServerRateLimiter::requestStarted(const ServiceState& service, Milliseconds now, Actions& actions)
{
    if (this->dependencies.book->all().empty())
        return;
    const auto servers = this->serversToAsk(service, true, now);
    if (!servers.empty())
        this->ask(*servers[this->dependencies.random->below(servers.size())], {}, now, actions);
}

bool ServerRateLimiter::ask(BackendServerState& server, Milliseconds patience, Milliseconds now, Actions& actions)
{
    const LimitReport* statement = this->dependencies.book->find(server.id(), server.record().life);
    if (!statement || !statement->perSecond)
        return false;
    const bool hadTimedOut = server.permits().hasRequestTimedOut(now);
    server.permits().requestCompleted();
    const auto granting = this->dependencies.gossip->firstOtherWatcher(now);
    if (this->mayGrant(now)) {
        this->applyGrant(server,
            this->grant({ .backendServer = server.id(),
                            .life = statement->life,
                            .perSecond = *statement->perSecond,
                            .patience = patience },
                now),
            now);
    } else if (granting && !hadTimedOut)
        this->askGrantingInstance(*granting, server, *statement, patience, now, actions);
    else
        this->takeSharedPermit(server, now);
    return server.permits().allows(now);
}

void ServerRateLimiter::askGrantingInstance(const peers::Member& granting, BackendServerState& server,
    const LimitReport& statement, Milliseconds patience, Milliseconds now, Actions& actions)
{
    this->dependencies.counters->add(DecisionCount::PermitsAsked);
    server.permits().permitRequested(++this->lastAsk, now + this->options.askTimeout);
    peers::PeerMessage message;
    peers::PermitAsk& ask = *message.mutable_permit_ask();
    ask.set_number(this->lastAsk);
    *ask.mutable_limit() = this->messageOf(server.id(), statement, now);
    ask.set_patience_milliseconds(wholeMilliseconds(patience));
    ask.set_reply_to(addressOf(this->options.self).packed());
    actions.emplace_back(makeSendToPeer(addressOf(granting), this->options.self.incarnation(), std::move(message)));
}

void ServerRateLimiter::takeSharedPermit(BackendServerState& server, Milliseconds now)
{
    this->dependencies.counters->add(DecisionCount::PermitsUnanswered);
    const auto limit = this->dependencies.book->limitOf(server.id(), server.record().life);
    if (limit && this->instances) {
        const double all = static_cast<double>(std::max<std::size_t>(*this->instances, 1));
        const LocalBudgetShare::Rate part{ .perSecond = *limit * this->options.dealtShare / all,
            .window = this->options.dealtWindow };
        if (this->localBudget.take(server.id(), part, *this->dependencies.random, now))
            return server.permits().add({ .from = now, .until = now + PermitLife });
    }
    server.permits().denied(now + this->options.pauseAfterTimeout);
}

PermitSchedule::Grant ServerRateLimiter::grant(const PermitSchedule::PermitRequest& wish, Milliseconds now)
{
    // After a network partition, each side grants the share of the limit that corresponds to its size.
    const auto known = static_cast<double>(this->dependencies.gossip->knownInstances().size() + 1);
    const double share = this->instances
        ? std::min(1.0, known / static_cast<double>(std::max<std::size_t>(*this->instances, 1)))
        : this->options.unknownFleetShare;
    PermitSchedule::PermitRequest granted = wish;
    granted.perSecond = wish.perSecond * share;
    const PermitSchedule::Grant grant = this->schedule.grant(granted, now);
    if (grant.isGranted)
        this->dependencies.counters->add(DecisionCount::PermitsGranted);
    return grant;
}

void ServerRateLimiter::applyGrant(
    BackendServerState& server, const PermitSchedule::Grant& grant, Milliseconds now) const
{
    const Milliseconds from = now + grant.wait;
    if (grant.isGranted)
        return server.permits().add({ .from = from, .until = from + PermitLife });
    // The random part keeps all denied instances from asking again at the same moment.
    server.permits().denied(now + grant.wait * (1 + this->dependencies.random->unit()));
}

void ServerRateLimiter::handleAsk(const peers::PermitAsk& ask, Milliseconds now, Actions& actions)
{
    const auto address = unpackNetworkAddress(ask.reply_to());
    if (!address)
        return this->dependencies.counters->add(DecisionCount::PeerMessagesRefused);
    this->mergeStatement(ask.limit(), Origin::Peer, now, actions);
    peers::PeerMessage message;
    peers::PermitAnswer& answer = *message.mutable_permit_answer();
    answer.set_number(ask.number());
    *answer.mutable_limit() = ask.limit();
    if (const auto* known = this->dependencies.book->find(ask.limit().backend_server(), ask.limit().life()))
        *answer.mutable_limit() = this->messageOf(ask.limit().backend_server(), *known, now);
    answer.set_not_granting(!this->mayGrant(now));
    if (this->mayGrant(now) && !answer.limit().is_over()) {
        const Milliseconds patience{ static_cast<double>(ask.patience_milliseconds()) };
        const PermitSchedule::Grant grant = this->grant({ .backendServer = ask.limit().backend_server(),
                                                            .life = ask.limit().life(),
                                                            .perSecond = answer.limit().per_second(),
                                                            .patience = patience },
            now);
        answer.set_is_granted(grant.isGranted);
        answer.set_wait_milliseconds(wholeMilliseconds({ std::ceil(grant.wait.count) }));
    }
    actions.emplace_back(makeSendToPeer(*address, this->options.self.incarnation(), std::move(message)));
}

void ServerRateLimiter::answered(const peers::PermitAnswer& answer, Milliseconds now, Actions& actions)
{
    const auto server = this->serverOf(answer.limit().backend_server(), answer.limit().life());
    // Ignore answers that arrive after their time-out.
    if (!server || !server->permits().isAwaited(answer.number()))
        return;
    server->permits().requestCompleted();
    this->mergeStatement(answer.limit(), Origin::Peer, now, actions);
    this->changed = true;
    if (!server->permits().isLimited())
        return;
    if (answer.not_granting())
        return this->takeSharedPermit(*server, now);
    const Milliseconds wait{ static_cast<double>(answer.wait_milliseconds()) };
    this->applyGrant(*server, { .isGranted = answer.is_granted(), .wait = wait }, now);
}

void ServerRateLimiter::receive(const peers::PeerMessage& message, Milliseconds now, Actions& actions)
{
    if (message.version() != PeerProtocolVersion)
        return this->dependencies.counters->add(DecisionCount::PeerMessagesRefused);
    if (message.has_permit_ask())
        this->handleAsk(message.permit_ask(), now, actions);
    else
        this->answered(message.permit_answer(), now, actions);
}

peers::NamedLimit ServerRateLimiter::messageOf(
    const std::string& backendServer, const LimitReport& statement, Milliseconds now) const
{
    peers::NamedLimit message;
    message.set_backend_server(backendServer);
    message.set_life(statement.life);
    message.set_per_second(statement.perSecond.value_or(0));
    message.set_is_over(!statement.perSecond);
    message.set_age_milliseconds(wholeMilliseconds(now - statement.at));
    return message;
}

void ServerRateLimiter::mergeStatement(
    const peers::NamedLimit& message, Origin origin, Milliseconds now, Actions& actions)
{
    const bool isReadable = std::isfinite(message.per_second()) && message.per_second() >= 0;
    if (!isReadable)
        return this->dependencies.counters->add(DecisionCount::PeerMessagesRefused);
    LimitReport statement{ .life = message.life(),
        .at = now - Milliseconds{ static_cast<double>(message.age_milliseconds()) } };
    if (!message.is_over())
        statement.perSecond = std::min(message.per_second(), MaxRequestsPerSecond);
    const LimitChange change = this->dependencies.book->mergeFromPeer(message.backend_server(), statement);
    this->apply(message.backend_server(), message.life());
    this->handleChange(message.backend_server(), change, origin, now, actions);
}

void ServerRateLimiter::appendLimitReports(Messages& messages, bool onlyHeardHere, Milliseconds now) const
{
    std::vector<std::pair<Milliseconds, const std::string*>> latest;
    for (const auto& [backendServer, statement] : this->dependencies.book->all()) {
        const bool isReported = statement.isReceivedDirectly || !onlyHeardHere;
        if (isReported && now - statement.at <= this->options.reportFor)
            latest.emplace_back(statement.at, &backendServer);
    }
    std::sort(latest.begin(), latest.end(), [](const auto& left, const auto& right) { return left > right; });
    latest.resize(std::min(latest.size(), MaxStatementsPerMessage));
    for (const auto& [at, backendServer] : latest)
        *messages.Add()
            = this->messageOf(*backendServer, this->dependencies.book->all().find(*backendServer)->second, now);
}

void ServerRateLimiter::receive(const Messages& messages, bool isNews, Milliseconds now, Actions& actions)
{
    for (const peers::NamedLimit& message : messages)
        this->mergeStatement(message, isNews ? Origin::Gossip : Origin::Peer, now, actions);
}

bool ServerRateLimiter::mayGrant(Milliseconds now)
{
    const bool isFirst = this->dependencies.gossip->isWatching() && !this->dependencies.gossip->firstOtherWatcher(now);
    if (!isFirst)
        this->grantsFrom = Never;
    else if (this->grantsFrom == Never)
        this->grantsFrom = now + this->options.takeOverDelay;
    return now >= this->grantsFrom;
}

void ServerRateLimiter::tick(std::optional<std::size_t> instancesAtLeast, Milliseconds now)
{
    this->instances = instancesAtLeast;
    this->dependencies.book->tick(now);
    this->mayGrant(now);
}

}
