#pragma once

#include "Node/ServiceTable.h"
#include "configuration.pb.h"

namespace burlreach {

/** What is in force, in the shape that operators' calls show. */
v1::Configuration configurationView(const ServiceTable& services);

}
