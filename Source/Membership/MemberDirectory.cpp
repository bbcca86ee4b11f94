#include "Membership/MemberDirectory.h"

#include <algorithm>

namespace burlreach {

const KnownInstance* MemberDirectory::find(std::string_view name) const
{
    const auto found = std::find_if(
        this->list.begin(), this->list.end(), [name](const KnownInstance& item) { return item.name == name; });
    return found == this->list.end() ? nullptr : &*found;
}

KnownInstance& MemberDirectory::findOrAdd(std::string_view name)
{
    const auto found = std::find_if(
        this->list.begin(), this->list.end(), [name](const KnownInstance& item) { return item.name == name; });
    if (found != this->list.end())
        return *found;
    KnownInstance added;
    added.name = std::string(name);
    this->list.push_back(std::move(added));
    return this->list.back();
}

bool MemberDirectory::update(const InstanceList& update)
{
    if (update.index < this->listIndex)
        return false;
    this->listIndex = update.index;
    this->markVanished(update);
    for (const ListedInstance& listed : update.instances) {
        KnownInstance& known = this->findOrAdd(listed.name);
        known.listed = true;
        known.listedLeaving = listed.leaving;
        known.address = listed.address;
        known.dataCentre = listed.dataCentre;
    }
    return true;
}

void MemberDirectory::markVanished(const InstanceList& update)
{
    const auto isVanished = [&](const KnownInstance& known) {
        const auto isSame = [&](const ListedInstance& listed) { return listed.name == known.name; };
        const bool vanished = known.listed && std::none_of(update.instances.begin(), update.instances.end(), isSame);
        if (vanished && known.incarnation)
            this->gone.insert(known.incarnation);
        return vanished;
    };
    std::erase_if(this->list, isVanished);
}

bool MemberDirectory::heard(const peers::Incarnation& from, Milliseconds now)
{
    if (!from.number() || from.name().empty() || this->isGone(from.number()))
        return false;
    KnownInstance& known = this->findOrAdd(from.name());
    if (from.number() < known.incarnation)
        return false;
    if (known.incarnation && from.number() > known.incarnation) {
        this->gone.insert(known.incarnation);
        known.configurationRevision = 0;
        known.saidLeaving = false;
    }
    known.incarnation = from.number();
    known.heardAt = now;
    return true;
}

void MemberDirectory::learn(const peers::Member& member)
{
    const peers::Incarnation& incarnation = member.incarnation();
    if (this->isGone(incarnation.number()))
        return;
    KnownInstance& known = this->findOrAdd(incarnation.name());
    if (incarnation.number() <= known.incarnation)
        return;
    if (known.incarnation)
        this->gone.insert(known.incarnation);
    known.incarnation = incarnation.number();
    known.configurationRevision = 0;
    this->describe(member);
}

void MemberDirectory::describe(const peers::Member& member)
{
    KnownInstance& known = this->findOrAdd(member.incarnation().name());
    known.address = { .host = member.address(), .port = static_cast<std::uint16_t>(member.port()) };
    known.dataCentre = member.data_centre();
    known.saidLeaving = member.leaving();
}

void MemberDirectory::setRevision(std::string_view name, std::uint32_t revision)
{
    KnownInstance& known = this->findOrAdd(name);
    known.configurationRevision = std::max(known.configurationRevision, revision);
}

Milliseconds MemberDirectory::heardAt(const peers::Incarnation& incarnation) const
{
    const KnownInstance* known = this->find(incarnation.name());
    return known && known->incarnation == incarnation.number() ? known->heardAt : LongAgo;
}

}
