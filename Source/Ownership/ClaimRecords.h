#pragma once

#include "Base/Milliseconds.h"
#include "peers.pb.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

namespace burlreach {

/** Who was given the right to send a run-once request. */
struct ClaimHolder {
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0; // of the request at that instance

    bool operator==(const ClaimHolder&) const = default;
};

/** One claimed request id. */
struct ClaimEntry {
    ClaimHolder holder;
    std::uint32_t attempt = 0;
    bool closed = false; // the holder did not run it and never will
    Milliseconds at;
};

/** A record as it travels between instances. */
void writeRecord(std::string_view requestId, const ClaimEntry& entry, Milliseconds now, peers::ClaimRecord& record);
ClaimEntry readRecord(const peers::ClaimRecord& record, Milliseconds now);

/** The claims of one slot, kept for a bounded time. */
class ClaimRecords {
public:
    ClaimEntry* find(std::string_view requestId);
    void put(std::string_view requestId, const ClaimEntry& entry);
    void expire(Milliseconds before);
    void clear();
    std::size_t size() const { return this->entries.size(); }

    void write(peers::SlotRecords& message, Milliseconds now) const;
    /** The message wins over what is here; what only is here stays. */
    void merge(const peers::SlotRecords& message, Milliseconds now);

private:
    /** When a record was made; a later one of the same id has its own. */
    struct Made {
        Milliseconds at;
        std::string requestId;
    };

    std::unordered_map<std::string, ClaimEntry> entries;
    std::deque<Made> byAge; // oldest first, so that expiry looks at no others
};

}
