#include "Membership/MemberTable.h"

#include <algorithm>

namespace burlreach {

NetworkAddress addressOf(const peers::Member& member)
{
    return { .host = member.address(), .port = static_cast<std::uint16_t>(member.port()) };
}

MemberTable::MemberTable(Options givenOptions)
    : options(givenOptions)
{
}

const KnownMember* MemberTable::byName(std::string_view name) const
{
    const auto found = std::find_if(this->list.begin(), this->list.end(),
        [&](const KnownMember& known) { return known.member.incarnation().name() == name; });
    return found == this->list.end() ? nullptr : &*found;
}

bool MemberTable::update(const peers::Member& member, StoreRevision revision, Milliseconds now)
{
    const auto found = std::find_if(this->list.begin(), this->list.end(),
        [&](const KnownMember& known) { return known.member.incarnation().name() == member.incarnation().name(); });
    if (found == this->list.end()) {
        this->list.push_back({ .member = member, .revision = revision, .heardAt = now });
        return true;
    }
    const auto known = found->member.incarnation().number();
    if (member.incarnation().number() < known)
        return false;
    const bool isNewLife = member.incarnation().number() > known;
    found->member = member;
    found->revision = isNewLife ? revision : std::max(found->revision, revision);
    // The information may come from another instance and be older than the last message of the member itself.
    found->heardAt = std::max(found->heardAt, now);
    return isNewLife;
}

void MemberTable::recordSentThrough(StoreRevision revision)
{
    for (KnownMember& known : this->list) {
        if (!known.revision)
            known.revision = revision;
    }
}

void MemberTable::tick(Milliseconds now)
{
    std::erase_if(
        this->list, [&](const KnownMember& known) { return now - known.heardAt > this->options.expireAfter; });
}

}
