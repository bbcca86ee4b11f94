#pragma once

#include "Http/HttpExchange.h"
#include "Routing/ConnectOutcome.h"

#include <system_error>

namespace burlreach {

/** What an error of opening a connection says about the server; no error: Connected. */
ConnectOutcome connectOutcomeOf(const std::error_code& error);
ConnectOutcome connectOutcomeOf(RelayReply reply);
ConnectOutcome connectOutcomeOf(const HttpExchangeEnd& end);

}
