#pragma once

#include "Store/StoreCall.h"

namespace burlreach {

/** Generates the numbers of store calls, which are unique within one instance. */
class StoreCallNumbers {
public:
    StoreCallNumber next() { return ++this->last; }

private:
    StoreCallNumber last = 0;
};

}
