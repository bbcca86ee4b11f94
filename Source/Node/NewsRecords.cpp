#include "Node/NewsRecords.h"

namespace burlreach {

DecisionRecord incompleteNewsRecord(const peers::News& news, const StoreSynchronizer& store, Milliseconds now)
{
    return knowledgeRecord("news_incomplete", news.origin().incarnation().name())
        .with("base", news.base_revision())
        .with("revision", news.store_revision())
        .with("have", store.view().revision())
        .with("changes", std::uint64_t(news.changes_size()))
        .with("follows", news.large_changes_follow() ? "yes" : "no")
        .with("confirmed_age", (now - store.confirmedAt()).count);
}

DecisionRecord pushRecord(
    std::string_view event, const peers::Incarnation& other, const peers::Push& push, const StoreSynchronizer& store)
{
    return knowledgeRecord(event, other.name())
        .with("base", push.base_revision())
        .with("revision", push.store_revision())
        .with("have", store.view().revision())
        .with("items", std::uint64_t(push.items_size()))
        .with("bytes", std::uint64_t{ push.ByteSizeLong() });
}

}
