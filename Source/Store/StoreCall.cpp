#include "Store/StoreCall.h"

#include <array>

namespace burlreach {

namespace {

constexpr std::array<std::string_view, StoreOperationCount> OperationNames{ "read_range", "watch", "write" };
constexpr std::array<std::string_view, StoreStatusCount> StatusNames{
    "done",
    "conflict",
    "history_lost",
    "refused",
    "unknown",
};

}

std::string_view nameOf(StoreOperation operation)
{
    return OperationNames.at(static_cast<std::size_t>(operation));
}

std::string_view nameOf(StoreStatus status)
{
    return StatusNames.at(static_cast<std::size_t>(status));
}

}
