#pragma once

#include "StoreClient/StoreWire.h"

namespace burlreach {

/** burlreach's own form of the store's calls (docs/OPERATIONS.md): JSON bodies posted to /store/v1/. */
class OwnStoreWire final : public StoreWire {
public:
    HttpRequest encode(const StoreRequest& request) const override;
    StoreAnswer decode(const StoreRequest& request, const HttpResponse& response) const override;
};

}
