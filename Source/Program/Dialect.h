#pragma once

#include "Configuration/StoreItemTranslator.h"
#include "StoreClient/StoreProtocol.h"
#include "Traffic/TrafficDialect.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace burlreach {

/** The protocol adapters of a deployment: to the store, for the items in it, and for callers and backend servers. */
struct Dialect {
    std::unique_ptr<StoreProtocol> store;
    std::shared_ptr<StoreItemTranslator> facts;
    std::unique_ptr<TrafficDialect> traffic;
    std::string changeKey; // store key that operators' calls change; empty: operators write to the store directly
};

/** A dialect built into this binary, with its name in the settings. */
struct DialectEntry {
    std::string_view name;
    Dialect (*make)();
};

/** Returns null when there is no dialect with that name. */
const DialectEntry* findDialect(std::span<const DialectEntry> dialects, std::string_view name);

/** Creates the dialect of burlreach's native protocols. */
Dialect makeOwnDialect();

}
