#pragma once

#include "Configuration/StoreItemTranslator.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace burlreach {

inline constexpr std::string_view LineDocumentKey = "document";
inline constexpr std::string_view LineServiceName = "bookings";

/**
 * Translates a simple text form of store items, for tests: a document with one route on each line (name, host, and
 * path), all to the same service, and an item "server/ID" with the value "ready" or "draining" for each backend server
 * of that service.
 */
class LineItemTranslator final : public StoreItemTranslator {
public:
    std::string watchedPrefix() const override { return ""; }
    ConfigurationUpdate translate(const StoreItem& item) const override;

    /** The size of the largest value translated so far, in bytes. */
    std::size_t longest() const { return this->longestTranslated; }

private:
    mutable std::size_t longestTranslated = 0;
};

}
