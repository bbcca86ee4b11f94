#include "Program/MetricsText.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace burlreach {

namespace {

/** Reported in place of an infinite age (never). */
constexpr double LongestAge = 1e9;

void add(v1::ShowCountersAnswer& answer, std::string_view name, std::string_view reason, double value)
{
    v1::Counter* counter = answer.add_counters();
    counter->set_name(std::string(name));
    counter->set_reason(std::string(reason));
    counter->set_value(value);
}

/** Adds quantiles as upper bounds of their buckets, so that they are never reported too low. */
void addQuantiles(v1::ShowCountersAnswer& answer, std::string_view name, const LatencyHistogram& histogram)
{
    constexpr double median = 0.5;
    constexpr double slowest = 0.99;
    if (!histogram.count())
        return;
    add(answer, name, "p50", histogram.quantile(median).count);
    add(answer, name, "p99", histogram.quantile(slowest).count);
}

void addStoreCalls(v1::ShowCountersAnswer& answer, const StoreCallCounts& calls)
{
    for (std::size_t operation = 0; operation < StoreOperationCount; ++operation) {
        for (std::size_t status = 0; status < StoreStatusCount; ++status) {
            const std::string reason = std::string(nameOf(static_cast<StoreOperation>(operation))) + "_"
                + std::string(nameOf(static_cast<StoreStatus>(status)));
            add(answer, "store_calls", reason, static_cast<double>(calls[operation][status]));
        }
    }
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
    const StoreCallCounts& storeCalls, const InstanceFigures& figures)
{
    v1::ShowCountersAnswer answer;
    addAll<RefusalReason>(answer, decisions, "refusals");
    addAll<RetryReason>(answer, decisions, "retries");
    addAll<DecisionCount>(answer, decisions, "decisions");
    addStoreCalls(answer, storeCalls);
    add(answer, "open_requests", "", static_cast<double>(figures.openRequests));
    add(answer, "instances", "", static_cast<double>(figures.instances));
    add(answer, "suspected_requests", "", static_cast<double>(figures.suspectedRequests));
    add(answer, "watching_store", "", figures.isWatching ? 1 : 0);
    add(answer, "store_revision", "", static_cast<double>(figures.storeRevision));
    add(answer, "confirmed_age_milliseconds", "", std::min(figures.confirmedAge.count, LongestAge));
    add(answer, "connections_opened", "", static_cast<double>(traffic.connectionsOpened));
    add(answer, "connections_reused", "", static_cast<double>(traffic.connectionsReused));
    add(answer, "answers_over_limit", "", static_cast<double>(traffic.answersOverLimit));
    add(answer, "held_bytes", "", static_cast<double>(traffic.heldBytes));
    add(answer, "dropped_for_memory", "", static_cast<double>(traffic.droppedForMemory));
    add(answer, "log_lines_dropped", "", static_cast<double>(traffic.logLinesLeftOut));
    add(answer, "open_relays", "", static_cast<double>(traffic.openRelays));
    add(answer, "open_sessions", "", static_cast<double>(traffic.openSessions));
    add(answer, "sessions_refused", "", static_cast<double>(traffic.sessionsRefused));
    add(answer, "sessions_displaced", "", static_cast<double>(traffic.sessionsDisplaced));
    add(answer, "peer_bytes_sent", "", static_cast<double>(traffic.peerBytesSent));
    add(answer, "peer_bytes_received", "", static_cast<double>(traffic.peerBytesReceived));
    add(answer, "peer_messages_sent", "", static_cast<double>(traffic.peerMessagesSent));
    add(answer, "peer_messages_dropped", "", static_cast<double>(traffic.peerMessagesDropped));
    add(answer, "peer_messages_invalid", "", static_cast<double>(traffic.peerMessagesInvalid));
    addQuantiles(answer, "answered_milliseconds", traffic.answered);
    addQuantiles(answer, "refused_milliseconds", traffic.refused);
    addQuantiles(answer, "added_milliseconds", traffic.added);
    addQuantiles(answer, "at_backend_server_milliseconds", traffic.atBackendServer);
    addQuantiles(answer, "turn_milliseconds", traffic.turns);
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
    traffic.answered.write(text, "burlreach_answered_seconds", "");
    traffic.refused.write(text, "burlreach_refused_seconds", "");
    traffic.added.write(text, "burlreach_added_seconds", "");
    traffic.atBackendServer.write(text, "burlreach_at_backend_server_seconds", "");
    traffic.turns.write(text, "burlreach_turn_seconds", "");
    return text;
}

}
