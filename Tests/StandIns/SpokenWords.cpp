#include "Tests/StandIns/SpokenWords.h"

namespace burlreach {

namespace {

/** Requests that were sent before the notice was received arrive within this time, even through a delaying proxy. */
constexpr std::chrono::milliseconds OnItsWay{ 500 };
/** Requests during a pause that are not yet a violation. */
constexpr int MostDuringPause = 2;
/** Sliding window in which arrivals are checked, from LimitSettling after the first report of the limit. */
constexpr std::chrono::seconds LimitWindow{ 4 };
constexpr std::chrono::milliseconds LimitSettling{ 1000 };
constexpr double LimitFactor = 1.5;
constexpr double MostBeyondLimit = 5;

}

void SpokenWords::saidLeaving(const std::string& instance)
{
    const std::lock_guard lock(this->mutex);
    if (!instance.empty() && !this->isBetweenLives)
        this->leaving.emplace(instance, Clock::now());
}

void SpokenWords::askedPause(const std::string& instance, double seconds)
{
    const std::lock_guard lock(this->mutex);
    const auto now = Clock::now();
    const auto until = now + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
    const auto found = this->pauses.find(instance);
    // A pause that is still running is not replaced, since the later start would excuse requests against the first.
    const bool isNoted = !instance.empty() && !this->isBetweenLives;
    if (isNoted && (found == this->pauses.end() || found->second.until < now))
        this->pauses[instance] = { .from = now + OnItsWay, .until = until };
}

void SpokenWords::namedLimit(const std::string& instance, double perSecond)
{
    const std::lock_guard lock(this->mutex);
    if (instance.empty() || this->isBetweenLives)
        return;
    const auto now = Clock::now();
    if (this->toldLimit.empty())
        this->limitSince = now;
    this->limit = perSecond;
    this->toldLimit.emplace(instance, now);
}

void SpokenWords::namedNoLimit()
{
    const std::lock_guard lock(this->mutex);
    this->toldLimit.clear();
    this->arrivals.clear();
}

bool SpokenWords::isBeyondLimit(const std::string& instance, Clock::time_point now)
{
    const auto told = this->toldLimit.find(instance);
    if (told == this->toldLimit.end() || now <= told->second + OnItsWay)
        return false;
    this->arrivals.push_back(now);
    while (now - this->arrivals.front() >= LimitWindow)
        this->arrivals.pop_front();
    const double seconds = std::chrono::duration<double>(LimitWindow).count();
    const double allowed = LimitFactor * this->limit * seconds + MostBeyondLimit;
    return now > this->limitSince + LimitSettling && static_cast<double>(this->arrivals.size()) > allowed;
}

std::string SpokenWords::against(const std::string& instance)
{
    const std::lock_guard lock(this->mutex);
    const auto now = Clock::now();
    const auto said = this->leaving.find(instance);
    if (said != this->leaving.end() && now > said->second + OnItsWay)
        return "leaving";
    if (this->isBeyondLimit(instance, now))
        return "limit";
    const auto pause = this->pauses.find(instance);
    const bool isMeanwhile = pause != this->pauses.end() && now > pause->second.from && now < pause->second.until;
    return isMeanwhile && ++pause->second.requests > MostDuringPause ? "pause" : "";
}

void SpokenWords::beginNewLife()
{
    const std::lock_guard lock(this->mutex);
    this->isBetweenLives = true;
    this->leaving.clear();
    this->pauses.clear();
    this->toldLimit.clear();
    this->arrivals.clear();
}

void SpokenWords::newLifeIsKnown()
{
    const std::lock_guard lock(this->mutex);
    this->isBetweenLives = false;
}

}
