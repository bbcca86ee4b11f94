#pragma once

#include "Configuration/StoreItemTranslator.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace burlreach {

inline constexpr std::string_view LineDocumentKey = "document";
inline constexpr std::string_view LineServiceName = "bookings";

/**
 * A form of the store's items for tests: a document of routes, each a line of
 * name, host and path, that all lead to one service; and an item "server/ID"
 * for each of its backend servers that holds "ready" or "draining".
 */
class LineItemTranslator final : public StoreItemTranslator {
public:
    std::string watchedPrefix() const override { return ""; }
    ConfigurationUpdate translate(const StoreItem& item) const override;

    /** The size of the largest value so far. */
    std::size_t longest() const { return this->longestTranslated; }

private:
    mutable std::size_t longestTranslated = 0;
};

}
