#include "Membership/PullScheduler.h"

#include <algorithm>
#include <tuple>

namespace burlreach {

namespace {

/** Revisions named while changes are missing; the watchers send some twenty updates a second. */
constexpr std::size_t MaxMissing = 32;

}

PullScheduler::PullScheduler(Options givenOptions)
    : options(givenOptions)
{
}

void PullScheduler::recordMissingChanges(
    const peers::Member& origin, std::uint64_t revision, bool heldChanges, Milliseconds now)
{
    const auto known = std::find_if(this->sources.begin(), this->sources.end(),
        [&](const Source& source) { return source.member.incarnation().name() == origin.incarnation().name(); });
    if (known == this->sources.end())
        this->sources.push_back({ .member = origin, .revision = revision });
    else {
        known->member = origin;
        known->revision = std::max(known->revision, revision);
    }
    const Milliseconds due = heldChanges ? now : now + this->options.updateDelay;
    if (this->missing.size() < MaxMissing)
        return this->missing.push_back({ .revision = revision, .due = due });
    MissingChanges& last = this->missing.back();
    last = { .revision = std::max(last.revision, revision), .due = std::min(last.due, due) };
}

void PullScheduler::recordAnnouncedPush(std::uint64_t revision, Milliseconds now)
{
    this->expectedPushes.push_back({ .revision = revision, .until = now + this->options.pushTimeout });
}

void PullScheduler::recordReceivedPush(std::uint64_t revision, std::uint64_t reached, Milliseconds now)
{
    if (reached < revision)
        return this->expectedPushes.clear();
    std::erase_if(this->expectedPushes, [revision](const ExpectedPush& push) { return push.revision <= revision; });
    for (ExpectedPush& push : this->expectedPushes)
        push.until = std::max(push.until, now + this->options.pushTimeout);
}

void PullScheduler::recordReachedRevision(std::uint64_t revision)
{
    std::erase_if(this->sources, [revision](const Source& source) { return source.revision <= revision; });
    // What was named later is due at its own time: the next update usually brings it.
    std::erase_if(this->missing, [revision](const MissingChanges& item) { return item.revision <= revision; });
    if (this->missing.empty())
        this->expectedPushes.clear();
}

void PullScheduler::recordAnswer()
{
    this->pullTimeoutAt = LongAgo;
    for (Source& source : this->sources)
        source.unanswered = 0;
}

std::optional<peers::Member> PullScheduler::next(Milliseconds now)
{
    if (now < this->nextDue())
        return std::nullopt;
    std::erase_if(this->expectedPushes, [now](const ExpectedPush& push) { return push.until <= now; });
    this->lastPull = now;
    this->pullTimeoutAt = now + this->options.timeout;
    const auto rank = [](const Source& source) {
        return std::tuple(source.unanswered, ~source.member.capacity(), ~source.revision);
    };
    const auto chosen = std::min_element(this->sources.begin(), this->sources.end(),
        [&](const Source& left, const Source& right) { return rank(left) < rank(right); });
    ++chosen->unanswered;
    return chosen->member;
}

Milliseconds PullScheduler::nextDue() const
{
    const auto first = std::min_element(this->missing.begin(), this->missing.end(),
        [](const MissingChanges& left, const MissingChanges& right) { return left.due < right.due; });
    if (first == this->missing.end())
        return Never;
    const Milliseconds pushUntil = this->expectedPushes.empty() ? LongAgo : this->expectedPushes.front().until;
    return std::max({ first->due, this->pullTimeoutAt, pushUntil });
}

}
