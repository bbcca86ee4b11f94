#pragma once

#include "Node/Actions.h"

#include <boost/beast/http/status.hpp>

namespace burlreach {

/**
 * Returns the status with which a caller's request is refused. A status that
 * promises that the request has not run is used only if that is proved.
 */
boost::beast::http::status statusOf(const RefuseRequest& refusal);

/** Returns true for statuses that are sent with a Retry-After field. */
bool needsRetryAfter(boost::beast::http::status status);

}
