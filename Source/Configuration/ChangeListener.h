#pragma once

#include "operators.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace burlreach {

using OperatorCallNumber = std::uint64_t;

/** What a ChangeCoordinator needs of the instance around it. */
class ChangeListener {
public:
    virtual ~ChangeListener() = default;
    virtual void configurationCommitted(const v1::Configuration& configuration) = 0;
    virtual void changeAnswered(OperatorCallNumber call, const v1::ChangeAnswer& answer) = 0;
    /** Names of the instances in which this revision is not known to be in force. */
    virtual std::vector<std::string> instancesBelow(std::uint32_t revision) const = 0;
    virtual void queryInForce(const std::string& instance, std::uint32_t revision) = 0;
};

}
