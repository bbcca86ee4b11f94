#pragma once

#include "Node/PolicyFactory.h"

#include <memory>
#include <string>
#include <vector>

namespace burlreach {

/** A way of routing to be compared with the others. */
struct Contender {
    std::string name;
    std::shared_ptr<const PolicyFactory> policies; // null: the product's own
    bool hedges = false;
    bool probes = true;
};

/**
 * The product, the product without probes, and the baselines: the bare choice
 * by that rule, without adaptive limits, ejections and hedges, with the same
 * waiting queue, retries and claims.
 */
std::vector<Contender> contenders();

}
