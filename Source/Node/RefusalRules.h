#pragma once

#include "Node/RequestState.h"
#include "Routing/AttemptResult.h"

#include <optional>

namespace burlreach {

/**
 * Why a request that found no server is refused now rather than kept waiting:
 * nothing that is known can change in the time that it may wait. Nothing when
 * waiting may help.
 */
std::optional<RefusalReason> refusedAtOnce(const RequestState& request, NoChoice choice, Milliseconds now);

/** Why a request that has waited as long as it may is refused. */
RefusalReason whyNobodyTook(const RequestState& request);

/** After the last attempt ended like this. */
RefusalReason reasonAfter(AttemptResult result);

/** False for an error answer whose status would promise without a proof that a run-once request has not run. */
bool mayBePassed(const Route& route, const AttemptEnd& end);

/**
 * When the caller of a request that servers did not take should come back; not
 * before the end of a pause that all of them asked for. The random part is 0 to 1.
 */
Milliseconds comeBackOf(const RequestState& request, RefusalReason reason, double random, Milliseconds now);

}
