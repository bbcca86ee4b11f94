#pragma once

#include "Node/ServiceTable.h"
#include "operators.pb.h"

#include <string>

namespace burlreach {

/** What this instance knows of the backend servers of a service, as operators are shown it. */
v1::ShowLoadAnswer loadView(const ServiceTable& services, const std::string& service, Milliseconds now);

}
