#pragma once

#include "Base/Milliseconds.h"
#include "Base/NetworkAddress.h"
#include "Store/StoreItem.h"
#include "peers.pb.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace burlreach {

/** Messages of another version are refused. */
inline constexpr std::uint32_t PeerProtocolVersion = 7;

/** Where a member takes messages. */
NetworkAddress addressOf(const peers::Member& member);

/** Another instance that was heard not long ago. */
struct KnownMember {
    peers::Member member;
    StoreRevision revision = 0; // what it said it has
    Milliseconds heardAt = LongAgo;
};

/**
 * The other instances that want the news of the store, by their own word. One
 * that has been silent is forgotten; a later life replaces an earlier one.
 */
class MemberTable {
public:
    struct Options {
        Milliseconds forgottenAfter{ 4000 };
    };

    explicit MemberTable(Options options);

    /** True when this life was not known. A life earlier than the known one is ignored. */
    bool heard(const peers::Member& member, StoreRevision revision, Milliseconds now);
    /** Those that had nothing were told everything through this revision. */
    void allWereTold(StoreRevision revision);
    /** Forgets the silent ones. */
    void tick(Milliseconds now);

    const std::vector<KnownMember>& members() const { return this->list; }
    /** Null when nothing is known of an instance of this name. */
    const KnownMember* byName(std::string_view name) const;
    std::size_t size() const { return this->list.size(); }

private:
    Options options;
    std::vector<KnownMember> list;
};

}
