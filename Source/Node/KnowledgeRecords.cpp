#include "Node/KnowledgeRecords.h"

#include "Quotas/CreditShareItem.h"

#include <cstdint>
#include <string>

namespace burlreach {

DecisionRecord grantorRecord(const StoreItem& item, ChangeSource source)
{
    const auto grantor = decodeGrantor(item.value);
    return knowledgeRecord("credit_grantor", grantor ? grantor->member().incarnation().name() : "nobody")
        .with("share", std::uint64_t{ creditShareOf(item.key).value_or(0) })
        .with("released", grantor && grantor->released() ? "yes" : "no")
        .with("still_waiting", grantor && isStillWaiting(*grantor) ? "yes" : "no")
        .with("revision", item.revision)
        .with("heard_from", nameOf(source));
}

void addSplitRouteRecords(const RoutingConfiguration& configuration, std::size_t most, Actions& actions)
{
    std::size_t lines = 0;
    for (const Route& route : configuration.routes) {
        if (route.services.size() < 2 || ++lines > most)
            continue;
        std::string weights;
        for (const WeightedService& part : route.services) {
            weights += weights.empty() ? "" : " ";
            weights += part.service;
            weights += ':';
            weights += std::to_string(part.weight);
        }
        actions.emplace_back(knowledgeRecord("route_divided", route.name).with("weights", weights));
    }
}

}
