#include "Crashes/BrokenAttemptTracker.h"

#include <algorithm>
#include <iterator>

namespace burlreach {

BrokenAttemptTracker::BrokenAttemptTracker(Options givenOptions)
    : options(givenOptions)
{
}

bool BrokenAttemptTracker::add(const BrokenAttempt& attempt, Milliseconds now)
{
    std::erase_if(this->attempts, [&](const BrokenAttempt& item) { return now - item.brokeAt > this->options.maxAge; });
    if (!attempt.digest.isKnown() || this->attempts.size() >= this->options.maxAttempts)
        return false;
    this->attempts.push_back(attempt);
    if (this->findCheck(attempt.backendServer) != this->checks.end())
        return false;
    this->checks.push_back({ .server = { .backendServer = attempt.backendServer, .address = attempt.address } });
    return true;
}

std::vector<BrokenAttemptTracker::Check>::iterator BrokenAttemptTracker::findCheck(std::string_view backendServer)
{
    return std::find_if(this->checks.begin(), this->checks.end(),
        [&](const Check& check) { return check.server.backendServer == backendServer; });
}

std::vector<BrokenAttempt> BrokenAttemptTracker::takeCrashed(std::string_view backendServer)
{
    std::erase_if(this->checks, [&](const Check& check) { return check.server.backendServer == backendServer; });
    const auto kept = std::stable_partition(this->attempts.begin(), this->attempts.end(),
        [&](const BrokenAttempt& item) { return item.backendServer != backendServer; });
    std::vector<BrokenAttempt> found(std::make_move_iterator(kept), std::make_move_iterator(this->attempts.end()));
    this->attempts.erase(kept, this->attempts.end());
    return found;
}

void BrokenAttemptTracker::connectionEstablished(std::string_view backendServer, Milliseconds now)
{
    const auto check = this->findCheck(backendServer);
    if (check == this->checks.end())
        return;
    if (check->step == Step::Second)
        return this->forget(backendServer);
    check->step = Step::Between;
    check->secondAt = now + this->options.secondCheckDelay;
}

std::vector<ServerToCheck> BrokenAttemptTracker::takeDueChecks(Milliseconds now)
{
    std::vector<ServerToCheck> due;
    for (Check& check : this->checks) {
        if (check.step != Step::Between || now < check.secondAt)
            continue;
        check.step = Step::Second;
        due.push_back(check.server);
    }
    return due;
}

Milliseconds BrokenAttemptTracker::nextCheck() const
{
    Milliseconds next = Never;
    for (const Check& check : this->checks) {
        if (check.step == Step::Between)
            next = std::min(next, check.secondAt);
    }
    return next;
}

void BrokenAttemptTracker::forget(std::string_view backendServer)
{
    this->takeCrashed(backendServer);
}

std::size_t BrokenAttemptTracker::countOf(const RequestDigest& digest) const
{
    return static_cast<std::size_t>(std::count_if(this->attempts.begin(), this->attempts.end(),
        [&](const BrokenAttempt& item) { return item.digest == digest; }));
}

}
