#pragma once

#include "Configuration/StoreItemTranslator.h"
#include "StoreClient/StoreProtocol.h"
#include "Traffic/TrafficDialect.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace burlreach {

/** The forms in which a deployment speaks: with the store, of its facts, and with callers and backend servers. */
struct Dialect {
    std::unique_ptr<StoreProtocol> store;
    std::shared_ptr<StoreItemTranslator> facts;
    std::unique_ptr<TrafficDialect> traffic;
    std::string changeKey; // of the document that operators' calls change; empty: they write to the store themselves
};

/** A dialect that this binary has, by the name that settings give it. */
struct DialectEntry {
    std::string_view name;
    Dialect (*make)();
};

/** Null when there is no dialect of that name. */
const DialectEntry* findDialect(std::span<const DialectEntry> dialects, std::string_view name);

/** burlreach's own forms. */
Dialect makeOwnDialect();

}
