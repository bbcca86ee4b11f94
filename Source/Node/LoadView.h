#pragma once

#include "Node/ServiceTable.h"
#include "operators.pb.h"

#include <string>

namespace burlreach {

/** This instance's view of the backend servers of a service and their load, for the operators' tool. */
v1::ShowLoadAnswer describeLoad(const ServiceTable& services, const std::string& service, Milliseconds now);

}
