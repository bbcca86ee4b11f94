#include "Ownership/ClaimRecords.h"

#include <algorithm>

namespace burlreach {

void writeRecord(std::string_view requestId, const ClaimEntry& entry, Milliseconds now, peers::ClaimRecord& record)
{
    record.set_request_id(std::string(requestId));
    record.set_attempt(entry.attempt);
    record.mutable_claimant()->set_number(entry.holder.incarnation);
    record.set_number(entry.holder.number);
    record.set_closed(entry.closed);
    record.set_age_milliseconds(static_cast<std::uint32_t>(std::max(0.0, (now - entry.at).count)));
}

ClaimEntry readRecord(const peers::ClaimRecord& record, Milliseconds now)
{
    ClaimEntry entry;
    entry.holder = { .incarnation = record.claimant().number(), .number = record.number() };
    entry.attempt = record.attempt();
    entry.closed = record.closed();
    entry.at = now - Milliseconds{ static_cast<double>(record.age_milliseconds()) };
    return entry;
}

ClaimEntry* ClaimRecords::find(std::string_view requestId)
{
    const auto found = this->entries.find(std::string(requestId));
    return found == this->entries.end() ? nullptr : &found->second;
}

void ClaimRecords::put(std::string_view requestId, const ClaimEntry& entry)
{
    this->entries.insert_or_assign(std::string(requestId), entry);
    this->byAge.push_back({ .at = entry.at, .requestId = std::string(requestId) });
}

void ClaimRecords::clear()
{
    this->entries.clear();
    this->byAge.clear();
}

void ClaimRecords::expire(Milliseconds before)
{
    while (!this->byAge.empty() && this->byAge.front().at < before) {
        const auto found = this->entries.find(this->byAge.front().requestId);
        if (found != this->entries.end() && found->second.at < before)
            this->entries.erase(found);
        this->byAge.pop_front();
    }
}

void ClaimRecords::write(peers::SlotRecords& message, Milliseconds now) const
{
    for (const auto& [requestId, entry] : this->entries)
        writeRecord(requestId, entry, now, *message.add_records());
}

void ClaimRecords::merge(const peers::SlotRecords& message, Milliseconds now)
{
    for (const peers::ClaimRecord& record : message.records())
        this->put(record.request_id(), readRecord(record, now));
}

}
