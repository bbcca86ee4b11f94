#pragma once

#include "Http/HttpMessage.h"
#include "Store/StoreCall.h"

namespace burlreach {

/** Encodes calls to the store as HTTP requests and decodes the answers. */
class StoreProtocol {
public:
    virtual ~StoreProtocol() = default;
    virtual HttpRequest encode(const StoreRequest& request) const = 0;
    /** An unreadable answer results in StoreStatus::Unknown. */
    virtual StoreAnswer decode(const StoreRequest& request, const HttpResponse& response) const = 0;
};

}
