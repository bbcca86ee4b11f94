#pragma once

#include "peers.pb.h"

namespace burlreach {

/** Is told of an ownership that was read from or written to the store. */
class OwnershipListener {
public:
    virtual ~OwnershipListener() = default;
    virtual void ownershipRead(const peers::Ownership& ownership) = 0;
};

}
