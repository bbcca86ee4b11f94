#include "Measurement/ProbeDesk.h"

#include <algorithm>

namespace burlreach {

namespace {

/** A fleet that is not known yet is taken to be at least this large. */
constexpr std::size_t FewestInstances = 4;

}

ProbeDesk::ProbeDesk(Options givenOptions)
    : options(givenOptions)
{
}

bool ProbeDesk::takeAllowance(const std::string& backendServer, double share, Milliseconds now)
{
    const auto members = static_cast<double>(std::max(this->instances, FewestInstances));
    const double perSecond = this->options.fleetPerSecond * share * this->options.budgetUsed / members;
    Allowance& allowance = this->allowances[backendServer];
    if (allowance.filledAt == LongAgo)
        allowance = { .tokens = std::min(1.0, perSecond), .filledAt = now };
    const double earned = perSecond * std::max(0.0, (now - allowance.filledAt) / Second);
    allowance.tokens = std::min(this->options.burst, allowance.tokens + earned);
    allowance.filledAt = now;
    if (allowance.tokens < 1)
        return false;
    allowance.tokens -= 1;
    return true;
}

std::optional<Probe> ProbeDesk::start(const std::shared_ptr<BackendServerState>& server, const std::string& path,
    double share, Milliseconds now)
{
    if (path.empty() || this->isUnderWay(server->id()) || !this->takeAllowance(server->id(), share, now))
        return std::nullopt;
    const ProbeNumber number = ++this->last;
    this->underWay[server->id()] = number;
    this->asked[number] = server;
    return Probe{ .number = number,
        .backendServer = server->id(),
        .address = server->record().address,
        .path = path,
        .timeout = this->options.timeout };
}

std::shared_ptr<BackendServerState> ProbeDesk::ended(ProbeNumber number)
{
    const auto found = this->asked.find(number);
    if (found == this->asked.end())
        return nullptr;
    const std::shared_ptr<BackendServerState> server = found->second;
    this->asked.erase(found);
    this->underWay.erase(server->id());
    return server;
}

}
