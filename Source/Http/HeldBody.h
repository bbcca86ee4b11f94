#pragma once

#include "Http/HttpMessage.h"
#include "Http/MemoryBound.h"

#include <memory>

namespace burlreach {

/** Shares a whole body among those who need it; its bytes count against the bound until the last of them is gone. */
std::shared_ptr<const HttpBody> holdBody(HttpBody body, const std::shared_ptr<MemoryBound>& memory);

}
