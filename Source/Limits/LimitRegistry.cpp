#include "Limits/LimitRegistry.h"

#include <algorithm>

namespace burlreach {

LimitRegistry::LimitRegistry(Options givenOptions)
    : options(givenOptions)
{
}

LimitChange LimitRegistry::recordLimit(
    const std::string& backendServer, std::uint64_t life, double perSecond, Milliseconds sentAt, Milliseconds now)
{
    return this->apply(
        backendServer, { .life = life, .perSecond = perSecond, .at = now, .isReceivedDirectly = true }, sentAt);
}

LimitChange LimitRegistry::recordAnswer(const std::string& backendServer, std::uint64_t life, Milliseconds sentAt)
{
    return this->apply(
        backendServer, { .life = life, .perSecond = std::nullopt, .at = sentAt, .isReceivedDirectly = true }, sentAt);
}

LimitChange LimitRegistry::mergeFromPeer(const std::string& backendServer, const LimitReport& statement)
{
    return this->apply(backendServer, statement, statement.at - this->options.maxMessageDelay);
}

LimitChange LimitRegistry::apply(const std::string& backendServer, const LimitReport& next, Milliseconds validFrom)
{
    const auto found = this->reports.find(backendServer);
    const bool isKnown = found != this->reports.end();
    if (isKnown && next.life < found->second.life)
        return LimitChange::None;
    if (!isKnown || next.life > found->second.life) {
        if (isKnown)
            this->reports.erase(found);
        if (!next.perSecond)
            return LimitChange::None;
        this->reports.emplace(backendServer, next);
        if (this->reports.size() > this->options.mostServers)
            this->forgetOldest();
        return LimitChange::Begun;
    }
    LimitReport& known = found->second;
    const bool isLoosened = known.perSecond && (!next.perSecond || *next.perSecond > *known.perSecond);
    if (next.at <= known.at || (isLoosened && validFrom <= known.at))
        return LimitChange::None;
    const std::optional<double> before = known.perSecond;
    known = next;
    if (before == next.perSecond)
        return LimitChange::None;
    if (!next.perSecond)
        return LimitChange::Ended;
    return before ? LimitChange::Adjusted : LimitChange::Begun;
}

void LimitRegistry::forgetOldest()
{
    const auto oldest = std::min_element(this->reports.begin(), this->reports.end(),
        [](const auto& one, const auto& other) { return one.second.at < other.second.at; });
    this->reports.erase(oldest);
}

void LimitRegistry::tick(Milliseconds now)
{
    std::erase_if(this->reports, [&](const auto& item) {
        return !item.second.perSecond && now - item.second.at > this->options.endedLimitKept;
    });
}

const LimitReport* LimitRegistry::find(std::string_view backendServer, std::uint64_t life) const
{
    const LimitReport* statement = this->find(backendServer);
    return statement && statement->life == life ? statement : nullptr;
}

const LimitReport* LimitRegistry::find(std::string_view backendServer) const
{
    const auto found = this->reports.find(backendServer);
    return found != this->reports.end() ? &found->second : nullptr;
}

std::optional<double> LimitRegistry::limitOf(std::string_view backendServer, std::uint64_t life) const
{
    const LimitReport* statement = this->find(backendServer, life);
    return statement ? statement->perSecond : std::nullopt;
}

}
