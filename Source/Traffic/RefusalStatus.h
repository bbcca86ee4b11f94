#pragma once

#include "Node/Actions.h"

#include <boost/beast/http/status.hpp>

namespace burlreach {

/**
 * The status that tells a caller of its refused request. Those that promise
 * that it did not run are given only where that is proved.
 */
boost::beast::http::status statusOf(const RefuseRequest& refusal);

/** True for statuses with which a caller is told when to come back. */
bool tellsWhenToComeBack(boost::beast::http::status status);

}
