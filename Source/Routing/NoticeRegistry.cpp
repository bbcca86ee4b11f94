#include "Routing/NoticeRegistry.h"

#include <algorithm>

namespace burlreach {

NoticeRegistry::NoticeRegistry(Options givenOptions)
    : options(givenOptions)
{
}

NoticeRegistry::Entry* NoticeRegistry::entryOf(const std::string& backendServer, std::uint64_t life, Milliseconds now)
{
    const auto [found, isNew] = this->entries.try_emplace(backendServer, Entry{ .life = life, .receivedAt = now });
    Entry& entry = found->second;
    if (life < entry.life)
        return nullptr;
    if (life > entry.life)
        entry = { .life = life };
    entry.receivedAt = now;
    if (isNew && this->entries.size() > this->options.maxEntries)
        this->forgetOldest();
    return &entry;
}

const NoticeRegistry::Entry* NoticeRegistry::find(std::string_view backendServer, std::uint64_t life) const
{
    const auto found = this->entries.find(backendServer);
    return found != this->entries.end() && found->second.life == life ? &found->second : nullptr;
}

void NoticeRegistry::forgetOldest()
{
    const auto oldest = std::min_element(this->entries.begin(), this->entries.end(),
        [](const auto& one, const auto& other) { return one.second.receivedAt < other.second.receivedAt; });
    this->entries.erase(oldest);
}

bool NoticeRegistry::recordLeaving(const std::string& backendServer, std::uint64_t life, Milliseconds at)
{
    Entry* entry = this->entryOf(backendServer, life, at);
    if (!entry || entry->isLeaving)
        return false;
    entry->isLeaving = true;
    return true;
}

bool NoticeRegistry::isLeaving(std::string_view backendServer, std::uint64_t life) const
{
    const Entry* entry = this->find(backendServer, life);
    return entry && entry->isLeaving;
}

bool NoticeRegistry::recordPause(
    const std::string& backendServer, std::uint64_t life, Milliseconds until, Milliseconds at)
{
    Entry* entry = this->entryOf(backendServer, life, at);
    if (!entry || until <= entry->pausedUntil)
        return false;
    entry->pausedUntil = until;
    return true;
}

Milliseconds NoticeRegistry::pausedUntil(std::string_view backendServer, std::uint64_t life) const
{
    const Entry* entry = this->find(backendServer, life);
    return entry ? entry->pausedUntil : LongAgo;
}

}
