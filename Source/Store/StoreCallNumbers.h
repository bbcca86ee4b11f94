#pragma once

#include "Store/StoreCall.h"

namespace burlreach {

/** Gives every call of one instance a number of its own. */
class StoreCallNumbers {
public:
    StoreCallNumber next() { return ++this->last; }

private:
    StoreCallNumber last = 0;
};

}
