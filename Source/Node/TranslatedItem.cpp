#include "Node/TranslatedItem.h"

#include <utility>

namespace burlreach {

std::shared_ptr<const TranslatedItem> translateItem(
    const StoreItemTranslator& translator, const StoreItem& item, ChangeSource source)
{
    auto translated = std::make_shared<TranslatedItem>();
    translated->key = item.key;
    translated->revision = item.revision;
    translated->bytes = item.value.size();
    translated->source = source;
    translated->facts = translator.translate(item);
    if (!translated->facts.configuration)
        return translated;
    auto routing = std::make_shared<PreparedRouting>();
    routing->routes = RouteTable(*translated->facts.configuration);
    routing->configuration = std::move(*translated->facts.configuration);
    routing->customers = CustomerTable(routing->configuration.customers);
    translated->facts.configuration.reset();
    translated->routing = std::move(routing);
    return translated;
}

StoreAnswer withoutSecrets(const StoreItemTranslator& translator, const StoreAnswer& answer)
{
    StoreAnswer cleared = answer;
    for (StoreItem& item : cleared.items) {
        if (auto value = translator.withoutSecrets(item))
            item.value = std::move(*value);
    }
    return cleared;
}

}
