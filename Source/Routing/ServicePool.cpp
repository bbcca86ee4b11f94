#include "Routing/ServicePool.h"

#include "Routing/LoadAwarePolicy.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

/**
 * When all servers are full according to their reports, but none has reported for this long and none has a request
 * from this instance, one request is sent all the same: nothing else would show that there is room again.
 */
constexpr Milliseconds SilentPool{ 300 };
/**
 * A server that reported that it is slow is assumed to stay slow for this long: a little less than a slowdown by noisy
 * neighbours lasts, which is about 150 ms. On a day with load peaks and an emptied data centre, 0.69 of the total value
 * of the requests was earned with 60 ms, more with 90 and 120, and less again with 160 (95 instances, 257 servers).
 */
constexpr Milliseconds SlowToldFor{ 120 };
constexpr double UsualPercent = 100;
/** Maximum age of a report for a server to count as recently reported. */
constexpr Milliseconds HeardLately{ 100 };

bool isHeardLately(const BackendServerState& server, Milliseconds now)
{
    return now - server.report().at <= HeardLately;
}

bool isToldSlow(const BackendServerState& server, double longestWork, Milliseconds now)
{
    const LoadReport& report = server.report();
    return now - report.at <= SlowToldFor && server.reportIsTrusted(now)
        && report.figures.workPercent / UsualPercent > longestWork;
}

}

ServicePool::ServicePool(std::unique_ptr<RoutingPolicy> givenPolicy, Options givenOptions)
    : options(givenOptions)
    , policy(std::move(givenPolicy))
    , outliers({})
{
}

std::shared_ptr<BackendServerState> ServicePool::put(const BackendServerRecord& record, Milliseconds now)
{
    auto known = this->find(record.id);
    if (known && known->record().life == record.life) {
        known->configure(record, now);
        return known;
    }
    // The new life starts with a state of its own: outcomes of attempts at the earlier life do not apply to it.
    if (known)
        this->remove(record.id);
    auto added = std::make_shared<BackendServerState>(record, now);
    added->setConnectionShare(this->connectionShare);
    this->list.push_back(added);
    this->byId.emplace(added->id(), added);
    return added;
}

bool ServicePool::isEmptied() const
{
    bool anyEmptied = false;
    for (const auto& server : this->list) {
        if (server->takesNewRequests())
            return false;
        anyEmptied = anyEmptied || server->isEmptied();
    }
    return anyEmptied;
}

bool ServicePool::areAllLeaving() const
{
    return !this->list.empty()
        && std::all_of(this->list.begin(), this->list.end(), [](const auto& server) { return server->isLeaving(); });
}

Milliseconds ServicePool::pauseEnd(Milliseconds now) const
{
    Milliseconds first = Never;
    bool anyTakes = false;
    for (const auto& server : this->list) {
        if (!server->takesNewRequests())
            continue;
        anyTakes = true;
        first = std::min(first, server->pausedUntil());
    }
    return anyTakes ? std::max(first, now) : now;
}

Milliseconds ServicePool::nextPermit(Milliseconds now) const
{
    Milliseconds next = Never;
    for (const auto& server : this->list) {
        if (server->takesNewRequests() && !server->isPaused(now))
            next = std::min(next, server->permits().isLimited() ? server->permits().nextChance(now) : now);
    }
    return next == Never ? now : next;
}

NoChoice ServicePool::whyNobody(Milliseconds now) const
{
    if (this->pauseEnd(now) > now)
        return NoChoice::Paused;
    const bool isLimited = std::any_of(this->list.begin(), this->list.end(), [now](const auto& server) {
        return server->takesNewRequests() && !server->isPaused(now) && server->permits().isLimited();
    });
    if (isLimited)
        return NoChoice::Limited;
    return this->areAllLeaving() ? NoChoice::AllLeave : NoChoice::NobodyTakes;
}

bool ServicePool::remove(std::string_view id)
{
    const auto server = this->find(id);
    if (!server)
        return false;
    this->coldShare.forget(server->id());
    this->byId.erase(server->id());
    std::erase(this->list, server);
    return true;
}

void ServicePool::setConnectionShare(std::size_t share)
{
    this->connectionShare = std::max<std::size_t>(share, 1);
    for (const auto& server : this->list)
        server->setConnectionShare(this->connectionShare);
}

std::vector<BackendServerState*> ServicePool::filter(const Sieve& sieve, Milliseconds now) const
{
    std::vector<BackendServerState*> found;
    for (const auto& server : this->list) {
        if (!this->versions.allows(server->record().version, sieve.wantsTarget))
            continue;
        const bool isLeftOut = std::find(sieve.without.begin(), sieve.without.end(), server) != sieve.without.end();
        const bool isHeldBack = server->isPaused(now) || !server->permits().allows(now)
            || (!sieve.withLimited && server->permits().isLimited());
        const bool isTaker = server->takesNewRequests() && !isHeldBack;
        if (isTaker && !isLeftOut && (sieve.withEjected || !server->isEjected(now)))
            found.push_back(server.get());
    }
    return found;
}

std::vector<BackendServerState*> ServicePool::takers(const ChoiceWish& wish, const RoutingContext& context) const
{
    auto found = this->filter({ .without = wish.tried, .wantsTarget = context.wantsTarget }, context.now);
    // The target version of a rollout has few servers: the other version takes the requests that they cannot.
    if (found.empty() && context.wantsTarget)
        found = this->filter({ .without = wish.tried }, context.now);
    if (!found.empty() || wish.onlyUntried)
        return found;
    // A backend server that was tried before or is ejected is better than none.
    found = this->filter({}, context.now);
    if (found.empty())
        found = this->filter({ .withEjected = true }, context.now);
    return found;
}

bool ServicePool::hasRoom(
    const BackendServerState& server, double requests, const ChoiceWish& wish, Milliseconds now) const
{
    if (!server.hasConnectionLeft())
        return false;
    if (!this->options.adaptive)
        return true;
    if (server.isResting(now) || (server.isOnTrial() && server.inFlight() > 0))
        return false;
    // Otherwise all waiting requests would be sent at once when its pause ends.
    if (!server.mayTakeAfterPause())
        return false;
    // Requests above this wait in the queue of this instance, from which they can still go to another server.
    return requests < this->crowdingEstimate.usefulSlots(server.slots()) * wish.limitShare;
}

void ServicePool::learn(const EndedFlight& flight)
{
    if (flight.time > 0 && flight.use > 0)
        this->crowdingEstimate.add(flight.time, flight.use);
}

Choice ServicePool::choose(const ChoiceWish& wish, const RoutingContext& context, Random& random)
{
    auto takers = this->takers(wish, context);
    if (takers.empty())
        return { .server = nullptr, .reason = this->whyNobody(context.now) };
    std::erase_if(takers,
        [&](const BackendServerState* server) { return !this->coldShare.allows(*server, random, context.now); });
    auto candidates = takers;
    const PoolLoad pool = poolLoadOf(candidates);
    std::erase_if(candidates, [&](const BackendServerState* server) {
        const double requests = expectedLoadOf(*server, pool, context.now).requests;
        return !this->hasRoom(*server, requests, wish, context.now);
    });
    if (!wish.mayTry && candidates.size() > 1) {
        const bool hasOthers = std::any_of(candidates.begin(), candidates.end(),
            [](const BackendServerState* server) { return !server->isOnTrial(); });
        if (hasOthers)
            std::erase_if(candidates, [](const BackendServerState* server) { return server->isOnTrial(); });
    }
    // Otherwise requests would wait for ever: without traffic no answer reports free slots.
    if (candidates.empty() && this->isSilent(context.now))
        candidates = takers;
    if (candidates.empty())
        return { .server = nullptr, .reason = NoChoice::Full };
    std::erase_if(candidates,
        [&](const BackendServerState* server) { return isToldSlow(*server, wish.longestWork, context.now); });
    if (candidates.empty())
        return { .server = nullptr, .reason = NoChoice::Slow };
    // Only an answer to a request shows whether the limit still holds: servers with a limit are not probed.
    const auto old = std::find_if(candidates.begin(), candidates.end(),
        [&](const BackendServerState* server) { return server->permits().isWordOld(context.now); });
    if (old != candidates.end())
        return { .server = this->find((*old)->id()), .reason = NoChoice::Full };
    if (wish.onlyHeard)
        std::erase_if(candidates, [&](const BackendServerState* server) {
            return !server->permits().isLimited() && !isHeardLately(*server, context.now);
        });
    if (candidates.empty())
        return { .server = nullptr, .reason = NoChoice::Unheard };
    const BackendServerState* chosen = this->policy->choose(candidates, context, random);
    return { .server = this->find(chosen->id()), .reason = NoChoice::Full };
}

std::vector<std::shared_ptr<BackendServerState>> ServicePool::worthKnowing(
    std::size_t most, const RoutingContext& context, Random& random) const
{
    std::vector<BackendServerState*> takers
        = this->filter({ .wantsTarget = context.wantsTarget, .withLimited = false }, context.now);
    const PoolLoad pool = poolLoadOf(takers);
    constexpr double jitter = 0.3;
    std::vector<std::pair<double, const BackendServerState*>> ranked;
    ranked.reserve(takers.size());
    for (const BackendServerState* server : takers)
        ranked.emplace_back(LoadAwarePolicy::score(*server, pool, context) * (1 + jitter * random.unit()), server);
    const auto count = static_cast<std::ptrdiff_t>(std::min(ranked.size(), most));
    std::partial_sort(ranked.begin(), ranked.begin() + count, ranked.end());
    ranked.resize(static_cast<std::size_t>(count));
    std::vector<std::shared_ptr<BackendServerState>> found;
    found.reserve(ranked.size());
    for (const auto& [score, server] : ranked)
        found.push_back(this->find(server->id()));
    return found;
}

bool ServicePool::isSilent(Milliseconds now) const
{
    return std::all_of(this->list.begin(), this->list.end(), [now](const auto& server) {
        return !server->inFlight() && !server->isResting(now) && now - server->report().at > SilentPool;
    });
}

bool ServicePool::checkOutlier(BackendServerState& server, Milliseconds now)
{
    return this->options.adaptive && this->outliers.check(server, this->list, now);
}

std::shared_ptr<BackendServerState> ServicePool::find(std::string_view id) const
{
    const auto found = this->byId.find(id);
    return found == this->byId.end() ? nullptr : found->second;
}

double ServicePool::slots() const
{
    double sum = 0;
    for (const auto& server : this->list) {
        if (server->takesNewRequests())
            sum += server->slots();
    }
    return sum;
}

}
