#include "Routing/ServicePool.h"

#include "Routing/LoadAwarePolicy.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

/**
 * When all servers are full according to their reports, but none has reported for this long and none has a request
 * from this instance, one request is sent all the same: nothing else would show that slots are free again.
 */
constexpr Milliseconds InactivePeriod{ 300 };
/**
 * A server that reported that it is slow is assumed to stay slow for this long: a little less than a slowdown by noisy
 * neighbours lasts, which is about 150 ms. On a day with load peaks and an emptied data centre, 0.69 of the total value
 * of the requests was earned with 60 ms, more with 90 and 120, and less again with 160 (95 instances, 257 servers).
 */
constexpr Milliseconds SlowReportValidity{ 120 };
constexpr double UsualPercent = 100;
/** Maximum age of a report for a server to count as recently reported. */
constexpr Milliseconds RecentReportAge{ 100 };

bool hasRecentReport(const BackendServerState& server, Milliseconds now)
{
    return now - server.report().at <= RecentReportAge;
}

bool isReportedSlow(const BackendServerState& server, double longestWork, Milliseconds now)
{
    const TimedLoadReport& report = server.report();
    return now - report.at <= SlowReportValidity && server.isReportTrusted(now)
        && report.load.workPercent / UsualPercent > longestWork;
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
            next = std::min(next, server->permits().isLimited() ? server->permits().nextPermitAt(now) : now);
    }
    return next == Never ? now : next;
}

NoServerReason ServicePool::reasonForNone(Milliseconds now) const
{
    if (this->pauseEnd(now) > now)
        return NoServerReason::Paused;
    const bool isLimited = std::any_of(this->list.begin(), this->list.end(), [now](const auto& server) {
        return server->takesNewRequests() && !server->isPaused(now) && server->permits().isLimited();
    });
    if (isLimited)
        return NoServerReason::Limited;
    return this->areAllLeaving() ? NoServerReason::AllLeaving : NoServerReason::NoneAvailable;
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

std::vector<BackendServerState*> ServicePool::serversMatching(const ServerFilter& filter, Milliseconds now) const
{
    std::vector<BackendServerState*> found;
    for (const auto& server : this->list) {
        if (!this->versions.allows(server->record().version, filter.wantsTarget))
            continue;
        const bool isExcluded
            = std::find(filter.excluded.begin(), filter.excluded.end(), server) != filter.excluded.end();
        const bool isHeldBack = server->isPaused(now) || !server->permits().allows(now)
            || (!filter.withLimited && server->permits().isLimited());
        const bool isEligible = server->takesNewRequests() && !isHeldBack;
        if (isEligible && !isExcluded && (filter.withEjected || !server->isEjected(now)))
            found.push_back(server.get());
    }
    return found;
}

std::vector<BackendServerState*> ServicePool::eligibleServers(
    const SelectionCriteria& wish, const RoutingContext& context) const
{
    auto found = this->serversMatching({ .excluded = wish.tried, .wantsTarget = context.wantsTarget }, context.now);
    // The target version of a rollout has few servers: the other version takes the requests that they cannot.
    if (found.empty() && context.wantsTarget)
        found = this->serversMatching({ .excluded = wish.tried }, context.now);
    if (!found.empty() || wish.onlyUntried)
        return found;
    // A backend server that was tried before or is ejected is better than none.
    found = this->serversMatching({}, context.now);
    if (found.empty())
        found = this->serversMatching({ .withEjected = true }, context.now);
    return found;
}

bool ServicePool::hasCapacity(
    const BackendServerState& server, double requests, const SelectionCriteria& wish, Milliseconds now) const
{
    if (!server.hasConnectionLeft())
        return false;
    if (!this->options.adaptive)
        return true;
    if (server.isBackingOff(now) || (server.isOnTrial() && server.inFlight() > 0))
        return false;
    // Otherwise all waiting requests would be sent at once when its pause ends.
    if (!server.mayTakeAfterPause())
        return false;
    // Requests above this wait in the queue of this instance, from which they can still go to another server.
    return requests < this->saturationEstimate.slotsToUse(server.slots()) * wish.slotShare;
}

void ServicePool::learn(const FinishedAttempt& flight)
{
    if (flight.relativeTime > 0 && flight.slotUse > 0)
        this->saturationEstimate.add(flight.relativeTime, flight.slotUse);
}

ServerChoice ServicePool::choose(const SelectionCriteria& wish, const RoutingContext& context, Random& random)
{
    auto eligible = this->eligibleServers(wish, context);
    if (eligible.empty())
        return { .server = nullptr, .reason = this->reasonForNone(context.now) };
    std::erase_if(eligible,
        [&](const BackendServerState* server) { return !this->coldShare.allows(*server, random, context.now); });
    auto candidates = eligible;
    const PoolLoad pool = poolLoadOf(candidates);
    std::erase_if(candidates, [&](const BackendServerState* server) {
        const double requests = expectedLoadOf(*server, pool, context.now).requests;
        return !this->hasCapacity(*server, requests, wish, context.now);
    });
    if (!wish.mayUseTrialServers && candidates.size() > 1) {
        const bool hasOthers = std::any_of(candidates.begin(), candidates.end(),
            [](const BackendServerState* server) { return !server->isOnTrial(); });
        if (hasOthers)
            std::erase_if(candidates, [](const BackendServerState* server) { return server->isOnTrial(); });
    }
    // Otherwise requests would wait for ever: without traffic no answer reports free slots.
    if (candidates.empty() && this->isInactive(context.now))
        candidates = eligible;
    if (candidates.empty())
        return { .server = nullptr, .reason = NoServerReason::Full };
    std::erase_if(candidates,
        [&](const BackendServerState* server) { return isReportedSlow(*server, wish.maxWorkFactor, context.now); });
    if (candidates.empty())
        return { .server = nullptr, .reason = NoServerReason::Slow };
    // Only an answer to a request shows whether the limit still holds: servers with a limit are not probed.
    const auto withStaleLimit = std::find_if(candidates.begin(), candidates.end(),
        [&](const BackendServerState* server) { return server->permits().isLimitStale(context.now); });
    if (withStaleLimit != candidates.end())
        return { .server = this->find((*withStaleLimit)->id()), .reason = NoServerReason::Full };
    if (wish.onlyWithRecentReport)
        std::erase_if(candidates, [&](const BackendServerState* server) {
            return !server->permits().isLimited() && !hasRecentReport(*server, context.now);
        });
    if (candidates.empty())
        return { .server = nullptr, .reason = NoServerReason::NoRecentReport };
    const BackendServerState* chosen = this->policy->choose(candidates, context, random);
    return { .server = this->find(chosen->id()), .reason = NoServerReason::Full };
}

bool ServicePool::hasKnownRoom(const BackendServerState& server, const SelectionCriteria& wish, Milliseconds now) const
{
    if (!hasRecentReport(server, now) || !server.isReportTrusted(now))
        return false;
    const double requests = server.report().requestsFromOthers + static_cast<double>(server.inFlight());
    return requests + 1 <= server.slots() && this->hasCapacity(server, requests, wish, now);
}

std::shared_ptr<BackendServerState> ServicePool::chooseWithKnownRoom(
    const SelectionCriteria& wish, const RoutingContext& context, Random& random)
{
    SelectionCriteria criteria = wish;
    // The second round is for servers that were tried before, when others are eligible but have no room.
    for (int round = 0; round < 2; ++round) {
        auto candidates = this->eligibleServers(criteria, context);
        std::erase_if(candidates, [&](const BackendServerState* server) {
            return !this->hasKnownRoom(*server, wish, context.now) || (!wish.mayUseTrialServers && server->isOnTrial())
                || !this->coldShare.allows(*server, random, context.now);
        });
        if (!candidates.empty())
            return this->find(this->policy->choose(candidates, context, random)->id());
        criteria.tried = {};
    }
    return nullptr;
}

std::vector<std::shared_ptr<BackendServerState>> ServicePool::probeCandidates(
    std::size_t most, const RoutingContext& context, Random& random) const
{
    std::vector<BackendServerState*> eligible
        = this->serversMatching({ .wantsTarget = context.wantsTarget, .withLimited = false }, context.now);
    const PoolLoad pool = poolLoadOf(eligible);
    constexpr double jitter = 0.3;
    std::vector<std::pair<double, const BackendServerState*>> ranked;
    ranked.reserve(eligible.size());
    for (const BackendServerState* server : eligible)
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

bool ServicePool::isInactive(Milliseconds now) const
{
    return std::all_of(this->list.begin(), this->list.end(), [now](const auto& server) {
        return !server->inFlight() && !server->isBackingOff(now) && now - server->report().at > InactivePeriod;
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
