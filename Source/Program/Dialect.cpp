#include "Program/Dialect.h"

#include "Configuration/OwnFactTranslator.h"
#include "StoreClient/OwnStoreWire.h"
#include "Traffic/OwnTrafficDialect.h"

#include <algorithm>

namespace burlreach {

const DialectEntry* findDialect(std::span<const DialectEntry> dialects, std::string_view name)
{
    const auto found = std::find_if(
        dialects.begin(), dialects.end(), [name](const DialectEntry& entry) { return entry.name == name; });
    return found == dialects.end() ? nullptr : &*found;
}

Dialect makeOwnDialect()
{
    return { .store = std::make_unique<OwnStoreWire>(),
        .facts = std::make_shared<OwnFactTranslator>(),
        .traffic = std::make_unique<OwnTrafficDialect>(),
        .changeKey = OwnConfigurationKey };
}

}
