#include "Http/HeldBody.h"

#include <utility>

namespace burlreach {

namespace {

struct HeldBody {
    HeldBody(HttpBody given, std::shared_ptr<MemoryBound> bound)
        : bytes(std::move(given))
        , memory(std::move(bound))
    {
        this->memory->addFixed(this->bytes.size());
    }
    ~HeldBody() { this->memory->removeFixed(this->bytes.size()); }
    HeldBody(const HeldBody&) = delete;
    HeldBody& operator=(const HeldBody&) = delete;

    HttpBody bytes;
    std::shared_ptr<MemoryBound> memory;
};

}

std::shared_ptr<const HttpBody> holdBody(HttpBody body, const std::shared_ptr<MemoryBound>& memory)
{
    const auto held = std::make_shared<const HeldBody>(std::move(body), memory);
    return { held, &held->bytes };
}

}
