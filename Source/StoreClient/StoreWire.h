#pragma once

#include "Http/HttpMessage.h"
#include "Store/StoreCall.h"

namespace burlreach {

/** The form in which the store is called. */
class StoreWire {
public:
    virtual ~StoreWire() = default;
    virtual HttpRequest encode(const StoreRequest& request) const = 0;
    /** An answer that cannot be read leaves the outcome unknown. */
    virtual StoreAnswer decode(const StoreRequest& request, const HttpResponse& response) const = 0;
};

}
