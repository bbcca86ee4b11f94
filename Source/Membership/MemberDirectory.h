#pragma once

#include "Base/Milliseconds.h"
#include "Membership/InstanceList.h"
#include "peers.pb.h"

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace burlreach {

/** What is known of one instance, from the list and from its messages. */
struct KnownInstance {
    std::string name;
    std::string dataCentre;
    NetworkAddress address;
    bool listed = false;
    bool listedLeaving = false;
    bool saidLeaving = false;
    std::uint64_t incarnation = 0; // 0: not heard yet
    Milliseconds heardAt = LongAgo;
    std::uint32_t configurationRevision = 0;
};

/**
 * The instances of the fleet, merged from the platform's lagging list and from
 * what instances say of themselves.
 *
 * An incarnation is gone for certain when a higher one spoke under the same
 * name, or when its name was in the list and then left it. Instance names are
 * therefore never given to another machine (docs/OPERATIONS.md).
 */
class MemberDirectory {
public:
    /** False when the list is older than the known one. */
    bool update(const InstanceList& list);
    /** False when the sender is an incarnation that is gone. */
    bool heard(const peers::Incarnation& from, Milliseconds now);
    /** An incarnation that others know; it was not heard itself. */
    void learn(const peers::Member& member);
    /** What a sender said of itself; call after heard(). */
    void describe(const peers::Member& member);
    void setRevision(std::string_view name, std::uint32_t revision);

    const KnownInstance* find(std::string_view name) const;
    std::span<const KnownInstance> instances() const { return this->list; }
    bool isGone(std::uint64_t incarnation) const { return this->gone.contains(incarnation); }
    Milliseconds heardAt(const peers::Incarnation& incarnation) const;

private:
    KnownInstance& findOrAdd(std::string_view name);
    void markVanished(const InstanceList& update);

    std::uint64_t listIndex = 0;
    std::vector<KnownInstance> list;
    std::set<std::uint64_t> gone;
};

}
