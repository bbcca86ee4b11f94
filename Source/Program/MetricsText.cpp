#include "Program/MetricsText.h"

#include <iomanip>
#include <sstream>

namespace burlreach {

namespace {

void add(v1::ShowCountersAnswer& answer, std::string_view name, std::string_view reason, double value)
{
    v1::Counter* counter = answer.add_counters();
    counter->set_name(std::string(name));
    counter->set_reason(std::string(reason));
    counter->set_value(value);
}

/** Upper ends of buckets, so that they are never told too low. */
void addQuantiles(v1::ShowCountersAnswer& answer, std::string_view name, const LatencyHistogram& histogram)
{
    constexpr double median = 0.5;
    constexpr double slowest = 0.99;
    if (!histogram.count())
        return;
    add(answer, name, "p50", histogram.quantile(median).count);
    add(answer, name, "p99", histogram.quantile(slowest).count);
}

template <typename Kind>
void addAll(v1::ShowCountersAnswer& answer, const DecisionCounters& decisions, std::string_view name)
{
    for (std::size_t index = 0; index < static_cast<std::size_t>(Kind::Count); ++index) {
        const auto kind = static_cast<Kind>(index);
        add(answer, name, nameOf(kind), static_cast<double>(decisions.value(kind)));
    }
}

}

v1::ShowCountersAnswer countersOf(const DecisionCounters& decisions, const TrafficMetrics& traffic,
    std::size_t claimRecords, std::size_t openRequests)
{
    v1::ShowCountersAnswer answer;
    addAll<RefusalReason>(answer, decisions, "refusals");
    addAll<RetryReason>(answer, decisions, "retries");
    addAll<DecisionCount>(answer, decisions, "decisions");
    add(answer, "claim_records", "", static_cast<double>(claimRecords));
    add(answer, "open_requests", "", static_cast<double>(openRequests));
    add(answer, "open_sessions", "", static_cast<double>(traffic.openSessions));
    add(answer, "sessions_refused", "", static_cast<double>(traffic.sessionsRefused));
    add(answer, "peer_bytes_sent", "", static_cast<double>(traffic.peerBytesSent));
    add(answer, "peer_bytes_received", "", static_cast<double>(traffic.peerBytesReceived));
    add(answer, "peer_messages_sent", "", static_cast<double>(traffic.peerMessagesSent));
    add(answer, "peer_messages_dropped", "", static_cast<double>(traffic.peerMessagesDropped));
    add(answer, "peer_messages_invalid", "", static_cast<double>(traffic.peerMessagesInvalid));
    add(answer, "store_calls", "", static_cast<double>(traffic.storeCalls));
    add(answer, "store_calls_failed", "", static_cast<double>(traffic.storeCallsFailed));
    addQuantiles(answer, "added_milliseconds", traffic.added);
    addQuantiles(answer, "waited_milliseconds", traffic.waited);
    addQuantiles(answer, "at_backend_server_milliseconds", traffic.atBackendServer);
    return answer;
}

std::string writeMetrics(const v1::ShowCountersAnswer& counters, const TrafficMetrics& traffic)
{
    constexpr int exactDigits = 15;
    std::ostringstream out;
    out << std::setprecision(exactDigits);
    for (const v1::Counter& counter : counters.counters()) {
        out << "burlreach_" << counter.name();
        if (!counter.reason().empty())
            out << "{reason=\"" << counter.reason() << "\"}";
        out << ' ' << counter.value() << '\n';
    }
    std::string text = out.str();
    traffic.added.write(text, "burlreach_added_seconds", "");
    traffic.waited.write(text, "burlreach_waited_seconds", "");
    traffic.atBackendServer.write(text, "burlreach_at_backend_server_seconds", "");
    return text;
}

}
