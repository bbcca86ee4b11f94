#pragma once

#include "Node/Actions.h"
#include "Node/Events.h"
#include "Node/RequestState.h"

#include <cstdint>
#include <string_view>

namespace burlreach {

/** What a choice rested on, as far as it is the same for all requests. */
struct KnowledgeUsed {
    std::uint64_t version = 0; // of the configuration in force
    Milliseconds confirmedAt; // since when what is known of the store may be old
};

/** A record of a decision on a request, with its id and route. */
DecisionRecord recordOfRequest(RecordTopic topic, std::string_view event, const RequestState& request);

/** A request that no route takes, or that came before the first configuration. */
DecisionRecord recordOfUnrouted(const RequestArrived& event, RefusalReason reason, std::uint64_t version);
/** An attempt is sent to a backend server, with the figures that chose it. */
DecisionRecord recordOfSent(
    const RequestState& request, const BackendServerState& server, const KnowledgeUsed& used, Milliseconds now);
DecisionRecord recordOfFailed(
    const RequestState& request, const Flight& flight, const AttemptEnd& end, Milliseconds now);
DecisionRecord recordOfAnswered(
    const RequestState& request, const Flight& flight, const AttemptEnd& end, Milliseconds now);
DecisionRecord recordOfRefused(
    const RequestState& request, const RefuseRequest& refusal, std::uint64_t version, Milliseconds now);

}
