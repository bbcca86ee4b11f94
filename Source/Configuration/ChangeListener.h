#pragma once

#include "operators.pb.h"

#include <cstdint>

namespace burlreach {

using OperatorCallNumber = std::uint64_t;

/** Receives the results of operators' changes. */
class ChangeListener {
public:
    virtual ~ChangeListener() = default;
    virtual void changeAnswered(OperatorCallNumber call, const v1::ChangeAnswer& answer) = 0;
};

}
