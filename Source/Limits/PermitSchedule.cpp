#include "Limits/PermitSchedule.h"

#include <algorithm>

namespace burlreach {

namespace {

/** Minimum rate of permits, even for a limit near zero: only answers to requests show when the limit rises or ends. */
constexpr double LeastPerSecond = 0.2;
/**
 * A denied request waits this share of the time that all requests denied within the last second would take in a
 * queue.
 */
constexpr double QueueShare = 0.1;
constexpr Milliseconds LongestWait{ 4000 };
constexpr std::size_t MostAccounts = 8192;

}

PermitSchedule::Grant PermitSchedule::grant(const PermitRequest& wish, Milliseconds now)
{
    if (this->servers.size() >= MostAccounts)
        this->dropOld(now);
    ServerState& server = this->servers[wish.backendServer];
    if (server.life != wish.life)
        server = { .life = wish.life };
    const Milliseconds interval = Second * (1 / std::max(wish.perSecond, LeastPerSecond));
    const Milliseconds at = std::max(now, server.latest + interval);
    if (at - now <= wish.patience) {
        server.latest = at;
        return { .isGranted = true, .wait = at - now };
    }
    server.denied.add(now);
    const Milliseconds queueTime = interval * (QueueShare * static_cast<double>(server.denied.count(now)));
    return { .isGranted = false, .wait = std::min(LongestWait, std::max(at - now, queueTime)) };
}

void PermitSchedule::dropOld(Milliseconds now)
{
    std::erase_if(this->servers, [now](const auto& item) { return now - item.second.latest > LongestWait * 2; });
}

}
