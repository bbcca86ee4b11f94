#include "Program/Dialect.h"

#include "Configuration/NativeItemTranslator.h"
#include "StoreClient/NativeStoreProtocol.h"
#include "Traffic/NativeTrafficDialect.h"

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
    return { .store = std::make_unique<NativeStoreProtocol>(),
        .facts = std::make_shared<NativeItemTranslator>(),
        .traffic = std::make_unique<NativeTrafficDialect>(),
        .changeKey = NativeConfigurationKey };
}

}
