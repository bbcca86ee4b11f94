#pragma once

#include "Node/ServiceTable.h"
#include "configuration.pb.h"

namespace burlreach {

/** Returns the configuration in force as the message that the operators' calls return. */
v1::Configuration configurationView(const ServiceTable& services);

}
