#include "Reachability/PathMonitor.h"

#include <algorithm>
#include <utility>

namespace burlreach {

PathMonitor::PathMonitor(Options givenOptions)
    : options(givenOptions)
{
}

void PathMonitor::recordSuccess(const BackendServerRecord& server, Milliseconds now)
{
    this->lastSuccessAnywhere = now;
    Service& service = this->services[server.service];
    service.lastSuccess = now;
    service.parts[server.dataCentre].lastSuccess = now;
    if (this->suspects.empty())
        return;
    this->eraseSuspect(server.id);
    this->evaluate();
}

void PathMonitor::eraseSuspect(std::string_view backendServer)
{
    const auto found = this->suspects.find(backendServer);
    if (found == this->suspects.end())
        return;
    this->lossCount += found->second.verdict == PathVerdict::Lost ? 1 : 0;
    this->suspects.erase(found);
}

void PathMonitor::recordFailure(const BackendServerRecord& server, Milliseconds now)
{
    const auto [found, isNew] = this->suspects.try_emplace(server.id);
    SuspectServer& suspect = found->second;
    if (isNew) {
        suspect.serviceName = server.service;
        suspect.service = &this->services[server.service];
        suspect.part = &suspect.service->parts[server.dataCentre];
        suspect.failedAt = now;
        suspect.checkedAt = now;
    }
    ++suspect.failures;
    const bool isProved = suspect.isReachedElsewhere && suspect.verdict != PathVerdict::Lost;
    if (isProved) {
        suspect.verdict = PathVerdict::Lost;
        ++this->lossCount;
    }
    if (isNew || isProved)
        this->evaluate();
}

bool PathMonitor::startAsking(std::string_view backendServer, Milliseconds now)
{
    const auto found = this->suspects.find(backendServer);
    if (found == this->suspects.end() || found->second.verdict == PathVerdict::Lost)
        return false;
    SuspectServer& suspect = found->second;
    if (now - suspect.askedAt < this->options.recheckInterval)
        return false;
    suspect.askedAt = now;
    suspect.asks = 1;
    return true;
}

void PathMonitor::recordVerdict(const std::string& backendServer, PathVerdict verdict)
{
    const auto found = this->suspects.find(backendServer);
    if (found == this->suspects.end())
        return;
    SuspectServer& suspect = found->second;
    if (verdict == PathVerdict::Unknown) {
        suspect.verdict = suspect.verdict.value_or(verdict);
        return;
    }
    suspect.isReachedElsewhere = verdict == PathVerdict::Lost;
    if (verdict == PathVerdict::Lost)
        return;
    this->lossCount += suspect.verdict == PathVerdict::Lost ? 1 : 0;
    suspect.verdict = verdict;
    this->evaluate();
}

bool PathMonitor::askAgain(std::string_view backendServer)
{
    const auto found = this->suspects.find(backendServer);
    if (found == this->suspects.end() || found->second.asks >= this->options.mostAsks)
        return false;
    ++found->second.asks;
    return true;
}

std::optional<PathVerdict> PathMonitor::verdict(std::string_view backendServer) const
{
    const auto found = this->suspects.find(backendServer);
    return found == this->suspects.end() ? std::nullopt : found->second.verdict;
}

void PathMonitor::forget(std::string_view backendServer)
{
    if (!this->suspects.contains(backendServer))
        return;
    this->eraseSuspect(backendServer);
    this->evaluate();
}

void PathMonitor::evaluate()
{
    std::map<const Service*, std::size_t> failedBefore;
    for (auto& [name, service] : this->services) {
        failedBefore[&service] = std::exchange(service.failed, 0);
        service.partsWithLosses = 0;
        for (auto& [dataCentre, part] : service.parts)
            part.lost = part.lostSinceSuccessOfService = 0;
    }
    this->lostCount = 0;
    for (const auto& [id, suspect] : this->suspects) {
        Service& service = *suspect.service;
        Part& part = *suspect.part;
        const bool isSinceSuccess = suspect.failedAt > service.lastSuccess;
        service.failed += isSinceSuccess ? 1 : 0;
        if (suspect.verdict != PathVerdict::Lost)
            continue;
        ++this->lostCount;
        part.lost += suspect.failedAt > part.lastSuccess ? 1 : 0;
        if (isSinceSuccess && part.lostSinceSuccessOfService++ == 0)
            ++service.partsWithLosses;
    }
    const auto infer = [this](bool& isInferred, std::size_t losses) {
        const bool wasInferred = std::exchange(isInferred, losses >= this->options.lossesToInfer);
        this->lossCount += wasInferred == isInferred ? 0 : 1;
    };
    for (auto& [name, service] : this->services) {
        this->failureCount += failedBefore[&service] == service.failed ? 0 : 1;
        infer(service.isInferred, service.partsWithLosses);
        for (auto& [dataCentre, part] : service.parts)
            infer(part.isInferred, part.lost);
    }
}

bool PathMonitor::isLost(const BackendServerRecord& server) const
{
    if (!this->lostCount)
        return false;
    const auto suspect = this->suspects.find(server.id);
    if (suspect != this->suspects.end() && suspect->second.verdict == PathVerdict::Lost)
        return true;
    const auto service = this->services.find(server.service);
    if (service == this->services.end())
        return false;
    const auto part = service->second.parts.find(server.dataCentre);
    return service->second.isInferred || (part != service->second.parts.end() && part->second.isInferred);
}

std::size_t PathMonitor::countFailed(const std::string& service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? 0 : found->second.failed;
}

bool PathMonitor::isUnreached(const std::string& service, std::size_t size) const
{
    return size && this->countFailed(service) >= std::min(size, this->options.failuresToGiveUp);
}

ServiceEvidence PathMonitor::evidence(const std::string& service) const
{
    ServiceEvidence evidence;
    for (const auto& [id, suspect] : this->suspects) {
        if (suspect.serviceName != service)
            continue;
        const PathVerdict verdict = suspect.verdict.value_or(PathVerdict::Unknown);
        evidence.lost += verdict == PathVerdict::Lost ? 1 : 0;
        evidence.down += verdict == PathVerdict::ServerDown ? 1 : 0;
        evidence.unknown += verdict == PathVerdict::Unknown ? 1 : 0;
    }
    return evidence;
}

std::size_t PathMonitor::countNewlyFailed() const
{
    return static_cast<std::size_t>(std::count_if(this->suspects.begin(), this->suspects.end(),
        [this](const auto& item) { return item.second.failedAt > this->lastSuccessAnywhere; }));
}

Milliseconds PathMonitor::lastSuccess(const std::string& service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? LongAgo : found->second.lastSuccess;
}

bool PathMonitor::startCheck(const BackendServerRecord& server, Milliseconds now)
{
    const auto suspect = this->suspects.find(server.id);
    std::erase_if(this->checks, [&](const auto& item) { return now - item.second >= this->options.recheckInterval; });
    if (suspect == this->suspects.end())
        return this->checks.try_emplace(server.id, now).second;
    if (now - suspect->second.checkedAt < this->options.recheckInterval)
        return false;
    suspect->second.checkedAt = now;
    return true;
}

Milliseconds PathMonitor::dueAt(const SuspectServer& server) const
{
    const unsigned intervals
        = server.verdict == PathVerdict::Lost ? 1 : std::min(server.failures, this->options.mostIntervals);
    return server.checkedAt + this->options.recheckInterval * static_cast<double>(intervals);
}

std::optional<std::string> PathMonitor::takeDueCheck(Milliseconds now)
{
    const auto first = std::min_element(this->suspects.begin(), this->suspects.end(),
        [this](const auto& left, const auto& right) { return this->dueAt(left.second) < this->dueAt(right.second); });
    const bool isDue = first != this->suspects.end() && now >= this->dueAt(first->second)
        && now >= this->lastCheckAt + this->options.checkSpacing;
    if (!isDue)
        return std::nullopt;
    first->second.checkedAt = now;
    this->lastCheckAt = now;
    return first->first;
}

Milliseconds PathMonitor::nextCheck() const
{
    Milliseconds due = Never;
    for (const auto& [id, suspect] : this->suspects)
        due = std::min(due, this->dueAt(suspect));
    return due == Never ? Never : std::max(due, this->lastCheckAt + this->options.checkSpacing);
}

}
