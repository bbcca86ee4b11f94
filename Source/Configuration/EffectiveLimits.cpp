#include "Configuration/EffectiveLimits.h"

namespace burlreach {

EffectiveLimits effectiveLimits(const v1::Limits& limits)
{
    constexpr double hundred = 100;
    EffectiveLimits effective;
    if (limits.connections_per_backend_server())
        effective.connectionsPerBackendServer = limits.connections_per_backend_server();
    if (limits.deadline_milliseconds())
        effective.deadline = { static_cast<double>(limits.deadline_milliseconds()) };
    if (limits.queue_length())
        effective.queueLength = limits.queue_length();
    if (limits.retry_percent())
        effective.retryShare = limits.retry_percent() / hundred;
    if (limits.probe_budget_milliseconds())
        effective.probeBudgetPerSecond = { static_cast<double>(limits.probe_budget_milliseconds()) };
    if (limits.maximum_body_bytes())
        effective.maximumBodyBytes = limits.maximum_body_bytes();
    return effective;
}

}
