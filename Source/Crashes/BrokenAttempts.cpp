#include "Crashes/BrokenAttempts.h"

#include <algorithm>
#include <iterator>

namespace burlreach {

BrokenAttempts::BrokenAttempts(Options givenOptions)
    : options(givenOptions)
{
}

bool BrokenAttempts::add(const BrokenAttempt& attempt, Milliseconds now)
{
    std::erase_if(this->attempts, [&](const BrokenAttempt& item) { return now - item.brokeAt > this->options.kept; });
    if (!attempt.digest.isKnown() || this->attempts.size() >= this->options.most)
        return false;
    this->attempts.push_back(attempt);
    if (this->lookAt(attempt.backendServer) != this->looks.end())
        return false;
    this->looks.push_back({ .server = { .backendServer = attempt.backendServer, .address = attempt.address } });
    return true;
}

std::vector<BrokenAttempts::Look>::iterator BrokenAttempts::lookAt(std::string_view backendServer)
{
    return std::find_if(this->looks.begin(), this->looks.end(),
        [&](const Look& look) { return look.server.backendServer == backendServer; });
}

std::vector<BrokenAttempt> BrokenAttempts::ended(std::string_view backendServer)
{
    std::erase_if(this->looks, [&](const Look& look) { return look.server.backendServer == backendServer; });
    const auto kept = std::stable_partition(this->attempts.begin(), this->attempts.end(),
        [&](const BrokenAttempt& item) { return item.backendServer != backendServer; });
    std::vector<BrokenAttempt> found(std::make_move_iterator(kept), std::make_move_iterator(this->attempts.end()));
    this->attempts.erase(kept, this->attempts.end());
    return found;
}

void BrokenAttempts::cameUp(std::string_view backendServer, Milliseconds now)
{
    const auto look = this->lookAt(backendServer);
    if (look == this->looks.end())
        return;
    if (look->step == Step::Second)
        return this->forget(backendServer);
    look->step = Step::Between;
    look->secondAt = now + this->options.secondLook;
}

std::vector<ServerToCheck> BrokenAttempts::takeDue(Milliseconds now)
{
    std::vector<ServerToCheck> due;
    for (Look& look : this->looks) {
        if (look.step != Step::Between || now < look.secondAt)
            continue;
        look.step = Step::Second;
        due.push_back(look.server);
    }
    return due;
}

Milliseconds BrokenAttempts::nextLook() const
{
    Milliseconds next = Never;
    for (const Look& look : this->looks) {
        if (look.step == Step::Between)
            next = std::min(next, look.secondAt);
    }
    return next;
}

void BrokenAttempts::forget(std::string_view backendServer)
{
    this->ended(backendServer);
}

std::size_t BrokenAttempts::of(const RequestDigest& digest) const
{
    return static_cast<std::size_t>(std::count_if(this->attempts.begin(), this->attempts.end(),
        [&](const BrokenAttempt& item) { return item.digest == digest; }));
}

}
