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
constexpr double LineShare = 0.1;
constexpr Milliseconds LongestWait{ 4000 };
constexpr std::size_t MostAccounts = 8192;

}

PermitSchedule::Grant PermitSchedule::grant(const Wish& wish, Milliseconds now)
{
    if (this->accounts.size() >= MostAccounts)
        this->forgetOld(now);
    Account& account = this->accounts[wish.backendServer];
    if (account.life != wish.life)
        account = { .life = wish.life };
    const Milliseconds apart = Second * (1 / std::max(wish.perSecond, LeastPerSecond));
    const Milliseconds at = std::max(now, account.latest + apart);
    if (at - now <= wish.patience) {
        account.latest = at;
        return { .isGranted = true, .wait = at - now };
    }
    account.denied.add(now);
    const Milliseconds line = apart * (LineShare * static_cast<double>(account.denied.count(now)));
    return { .isGranted = false, .wait = std::min(LongestWait, std::max(at - now, line)) };
}

void PermitSchedule::forgetOld(Milliseconds now)
{
    std::erase_if(this->accounts, [now](const auto& item) { return now - item.second.latest > LongestWait * 2; });
}

}
