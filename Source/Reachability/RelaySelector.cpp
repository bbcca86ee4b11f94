#include "Reachability/RelaySelector.h"

#include "Base/Hash.h"

#include <algorithm>
#include <utility>

namespace burlreach {

RelaySelector::RelaySelector(Options givenOptions)
    : options(std::move(givenOptions))
{
}

void RelaySelector::learn(const peers::Member& member, Milliseconds now)
{
    const std::string& name = member.incarnation().name();
    if (!member.relay_port() || name == this->options.instance)
        return;
    std::erase_if(this->candidates, [&](const auto& item) { return !this->isFresh(item.second, now); });
    if (this->candidates.size() >= this->options.mostInstances && !this->candidates.contains(name)) {
        const auto oldest = std::min_element(this->candidates.begin(), this->candidates.end(),
            [](const auto& left, const auto& right) { return left.second.mentionedAt < right.second.mentionedAt; });
        this->candidates.erase(oldest);
    }
    Candidate& candidate = this->candidates[name];
    candidate.address = { .host = member.address(), .port = static_cast<std::uint16_t>(member.relay_port()) };
    candidate.dataCentre = member.data_centre();
    candidate.mentionedAt = now;
    for (const std::uint32_t service : member.unreached_services())
        candidate.services[service].unreachedAt = now;
}

void RelaySelector::learnUnreached(std::uint32_t service, Milliseconds now)
{
    for (auto& [name, candidate] : this->candidates) {
        // The sender may not have heard yet of a path that has just come back.
        if (!this->hasJustConnected(candidate, service, now))
            candidate.services[service].unreachedAt = now;
    }
}

bool RelaySelector::isFresh(const Candidate& candidate, Milliseconds now) const
{
    return now - candidate.mentionedAt <= this->options.forgetAfter;
}

bool RelaySelector::hasJustConnected(const Candidate& candidate, std::uint32_t service, Milliseconds now) const
{
    const auto found = candidate.services.find(service);
    return found != candidate.services.end() && found->second.connectedAt > found->second.unreachedAt
        && now - found->second.connectedAt <= this->options.trust;
}

bool RelaySelector::reachesService(const Candidate& candidate, std::uint32_t service, Milliseconds now) const
{
    const auto found = candidate.services.find(service);
    if (found == candidate.services.end())
        return true;
    const Reach& reach = found->second;
    if (reach.unreachedAt > reach.connectedAt && now - reach.unreachedAt <= this->options.trust)
        return false;
    const auto failed = std::count_if(reach.failures.begin(), reach.failures.end(),
        [&](const auto& item) { return item.second > reach.connectedAt && now - item.second <= this->options.trust; });
    return static_cast<std::size_t>(failed) < this->options.failuresToGiveUp;
}

bool RelaySelector::reachesServer(const Candidate& candidate, const BackendServerRecord& server, Milliseconds now) const
{
    const std::uint32_t service = shortHashOf(server.service);
    const auto found = candidate.services.find(service);
    if (found == candidate.services.end())
        return true;
    const auto failure = found->second.failures.find(server.id);
    const bool hasFailed = failure != found->second.failures.end() && now - failure->second <= this->options.trust;
    return !hasFailed && this->reachesService(candidate, service, now);
}

bool RelaySelector::isSilent(const Candidate& candidate, Milliseconds now) const
{
    return now - candidate.silentAt <= this->options.trust;
}

bool RelaySelector::mayReach(const Candidate& candidate, std::uint32_t service, Milliseconds now) const
{
    return this->isFresh(candidate, now) && !this->isSilent(candidate, now)
        && this->reachesService(candidate, service, now);
}

bool RelaySelector::mayReach(const std::string& service, Milliseconds now) const
{
    return std::any_of(this->candidates.begin(), this->candidates.end(),
        [&](const auto& item) { return this->mayReach(item.second, shortHashOf(service), now); });
}

std::size_t RelaySelector::countReaching(const std::string& service, Milliseconds now) const
{
    return static_cast<std::size_t>(std::count_if(this->candidates.begin(), this->candidates.end(),
        [&](const auto& item) { return this->mayReach(item.second, shortHashOf(service), now); }));
}

std::optional<NetworkAddress> RelaySelector::choose(
    const BackendServerRecord& server, Random& random, Milliseconds now) const
{
    Choices choices;
    for (const auto& [name, candidate] : this->candidates) {
        if (this->isFresh(candidate, now))
            choices.push_back(&candidate);
    }
    if (choices.empty())
        return std::nullopt;
    const auto prefer = [&choices](std::size_t fewest, const auto& isWanted) {
        const auto wanted = static_cast<std::size_t>(std::count_if(choices.begin(), choices.end(), isWanted));
        if (wanted >= fewest)
            std::erase_if(choices, [&](const Candidate* candidate) { return !isWanted(candidate); });
    };
    const std::uint32_t service = shortHashOf(server.service);
    prefer(1, [&](const Candidate* candidate) { return this->reachesServer(*candidate, server, now); });
    prefer(1, [&](const Candidate* candidate) { return !this->isSilent(*candidate, now); });
    prefer(1, [&](const Candidate* candidate) { return now >= candidate->pausedUntil; });
    prefer(this->options.fewestProved,
        [&](const Candidate* candidate) { return this->hasJustConnected(*candidate, service, now); });
    prefer(this->options.fewestNear,
        [this](const Candidate* candidate) { return candidate->dataCentre == this->options.dataCentre; });
    const Candidate* first = choices[random.below(choices.size())];
    const Candidate* second = choices[random.below(choices.size())];
    return second->connections < first->connections ? second->address : first->address;
}

RelaySelector::Candidate* RelaySelector::byAddress(const NetworkAddress& address)
{
    const auto found = std::find_if(this->candidates.begin(), this->candidates.end(),
        [&](const auto& item) { return item.second.address == address; });
    return found == this->candidates.end() ? nullptr : &found->second;
}

void RelaySelector::connectionOpened(const NetworkAddress& relay)
{
    if (Candidate* candidate = this->byAddress(relay))
        ++candidate->connections;
}

void RelaySelector::connectionClosed(const NetworkAddress& relay)
{
    Candidate* candidate = this->byAddress(relay);
    if (candidate && candidate->connections)
        --candidate->connections;
}

void RelaySelector::connected(const NetworkAddress& relay, const BackendServerRecord& server, Milliseconds now)
{
    Candidate* candidate = this->byAddress(relay);
    if (!candidate)
        return;
    candidate->silentAt = LongAgo;
    Reach& reach = candidate->services[shortHashOf(server.service)];
    reach.connectedAt = now;
    reach.failures.erase(server.id);
}

void RelaySelector::foundSilent(const NetworkAddress& relay, Milliseconds now)
{
    if (Candidate* candidate = this->byAddress(relay))
        candidate->silentAt = now;
}

void RelaySelector::foundDeclining(const NetworkAddress& relay, Milliseconds now)
{
    if (Candidate* candidate = this->byAddress(relay))
        candidate->pausedUntil = now + this->options.pauseAfterDecline;
}

void RelaySelector::foundNoPath(const NetworkAddress& relay, const BackendServerRecord& server, Milliseconds now)
{
    Candidate* candidate = this->byAddress(relay);
    if (!candidate)
        return;
    Reach& reach = candidate->services[shortHashOf(server.service)];
    std::erase_if(reach.failures, [&](const auto& item) { return now - item.second > this->options.trust; });
    reach.failures[server.id] = now;
}

void RelaySelector::foundServiceUnreached(const NetworkAddress& relay, const std::string& service, Milliseconds now)
{
    if (Candidate* candidate = this->byAddress(relay))
        candidate->services[shortHashOf(service)].unreachedAt = now;
}

}
