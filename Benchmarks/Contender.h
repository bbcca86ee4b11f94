#pragma once

#include "Node/PolicyFactory.h"
#include "Node/RequestFlow.h"

#include <memory>
#include <string>
#include <vector>

namespace burlreach {

/** A way of choosing backend servers, burlreach's own or a baseline. */
struct Contender {
    std::string name;
    std::shared_ptr<const PolicyFactory> policies;
    RequestFlow::Options requests;
};

std::vector<Contender> contenders();

}
