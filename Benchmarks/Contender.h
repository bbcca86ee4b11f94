#pragma once

#include "Node/PolicyFactory.h"
#include "Node/RequestFlow.h"

#include <memory>
#include <string>
#include <vector>

namespace burlreach {

/** A routing configuration to compare: burlreach, with or without some features, or a baseline policy. */
struct Contender {
    std::string name;
    std::shared_ptr<const PolicyFactory> policies;
    RequestFlow::Options requests;
};

std::vector<Contender> contenders();

}
