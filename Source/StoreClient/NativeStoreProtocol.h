#pragma once

#include "StoreClient/StoreProtocol.h"

namespace burlreach {

/** The store protocol of burlreach itself (docs/OPERATIONS.md): calls are JSON bodies posted to /store/v1/. */
class NativeStoreProtocol final : public StoreProtocol {
public:
    HttpRequest encode(const StoreRequest& request) const override;
    StoreAnswer decode(const StoreRequest& request, const HttpResponse& response) const override;
};

}
