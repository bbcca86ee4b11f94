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

/** The version of the protocol between instances; messages of another version are refused. */
inline constexpr std::uint32_t PeerProtocolVersion = 7;

/** The address at which a member receives messages. */
NetworkAddress addressOf(const peers::Member& member);

/** Another instance, as last reported. */
struct KnownMember {
    peers::Member member;
    StoreRevision revision = 0; // up to which it has the store's changes, as it last reported; 0: it has nothing
    Milliseconds heardAt = LongAgo; // when it last sent a message to this instance or to the one that reported it
};

/**
 * The other instances, which receive updates of the store from this one when it watches. A member without a message
 * for some time is removed; a later life replaces an earlier one.
 */
class MemberTable {
public:
    struct Options {
        Milliseconds expireAfter{ 4000 };
    };

    explicit MemberTable(Options options);

    /** Adds or updates a member; true when this life was not known. A life earlier than the known one is ignored. */
    bool update(const peers::Member& member, StoreRevision revision, Milliseconds now);
    /** Records that all members with revision 0 were sent everything up to this revision. */
    void recordSentThrough(StoreRevision revision);
    /** Removes members without a recent message. */
    void tick(Milliseconds now);

    const std::vector<KnownMember>& members() const { return this->list; }
    /** Null if there is no member of this name. */
    const KnownMember* byName(std::string_view name) const;
    std::size_t size() const { return this->list.size(); }

private:
    Options options;
    std::vector<KnownMember> list;
};

}
