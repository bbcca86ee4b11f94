#include "Routing/SendPermits.h"

#include <algorithm>

namespace burlreach {

namespace {

/** Interval between the reports of a server that takes half a request a second. */
constexpr Milliseconds ReportInterval{ 2000 };

}

void SendPermits::setLimited(Milliseconds at)
{
    this->limited = true;
    this->reportedAt = std::max(this->reportedAt, at);
}

void SendPermits::lift()
{
    *this = {};
}

bool SendPermits::isLimitStale(Milliseconds now) const
{
    return this->limited && now - this->reportedAt > ReportInterval;
}

bool SendPermits::allows(Milliseconds now) const
{
    return !this->limited || std::any_of(this->permits.begin(), this->permits.end(), [now](const SendPermit& permit) {
        return now >= permit.from && now < permit.until;
    });
}

std::optional<SendPermit> SendPermits::take(Milliseconds now)
{
    std::erase_if(this->permits, [now](const SendPermit& permit) { return now >= permit.until; });
    const auto found = std::min_element(this->permits.begin(), this->permits.end(),
        [](const SendPermit& left, const SendPermit& right) { return left.until < right.until; });
    if (!this->limited || found == this->permits.end())
        return std::nullopt;
    const SendPermit taken = *found;
    this->permits.erase(found);
    return taken;
}

void SendPermits::add(const SendPermit& permit)
{
    if (this->limited)
        this->permits.push_back(permit);
}

bool SendPermits::isExpected(Milliseconds now) const
{
    return this->isAwaiting(now)
        || std::any_of(
            this->permits.begin(), this->permits.end(), [now](const SendPermit& permit) { return now < permit.until; });
}

bool SendPermits::mayRequestPermit(Milliseconds now) const
{
    return this->limited && !this->isExpected(now) && now >= this->deniedUntil;
}

void SendPermits::permitRequested(std::uint64_t number, Milliseconds due)
{
    this->pendingRequest = number;
    this->answerDue = due;
}

void SendPermits::denied(Milliseconds until)
{
    this->deniedUntil = std::max(this->deniedUntil, until);
}

Milliseconds SendPermits::nextPermitAt(Milliseconds now) const
{
    Milliseconds next = this->isAwaiting(now) ? now : std::max(now, this->deniedUntil);
    for (const SendPermit& permit : this->permits) {
        if (now < permit.until)
            next = std::min(next, std::max(now, permit.from));
    }
    return next;
}

}
