#pragma once

#include "Node/Actions.h"
#include "Node/Events.h"
#include "Node/RequestState.h"

#include <cstdint>
#include <string_view>

namespace burlreach {

/** The state of this instance's knowledge when a server was chosen. */
struct KnowledgeUsed {
    std::uint64_t version = 0; // of the active configuration
    Milliseconds confirmedAt; // when the view of the store was last known to be current
};

/** A log record of a decision on a request, with the request's id and route. */
DecisionRecord recordOfRequest(RecordTopic topic, std::string_view event, const RequestState& request);

/** The log record of a refused request that matches no route or arrived before the first configuration. */
DecisionRecord recordOfUnrouted(const RequestArrived& event, RefusalReason reason, std::uint64_t version);
/** The log record of an attempt sent to a backend server, with the load data on which the choice was based. */
DecisionRecord recordOfSent(
    const RequestState& request, const BackendServerState& server, const KnowledgeUsed& used, Milliseconds now);
/** The log record of an answer that is passed on while it comes. */
DecisionRecord recordOfAnswerBegun(
    const RequestState& request, const Flight& flight, const AttemptEnd& end, Milliseconds now);
DecisionRecord recordOfFailed(
    const RequestState& request, const Flight& flight, const AttemptEnd& end, Milliseconds now);
/** The log record of a retry that the budget did not allow, with the inputs of that decision. */
DecisionRecord recordOfRetryDenied(const RequestState& request, Milliseconds now);
DecisionRecord recordOfAnswered(
    const RequestState& request, const Flight& flight, const AttemptEnd& end, Milliseconds now);
DecisionRecord recordOfRefused(
    const RequestState& request, const RefuseRequest& refusal, std::uint64_t version, Milliseconds now);

}
