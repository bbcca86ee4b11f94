#include "Quotas/CreditShareAssigner.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace burlreach {

namespace {

/**
 * A customer at its usual rate, its limit / 1.6, does not notice that this many shares are missing. Taking the share of
 * a holder that is only cut off from the others would leave the callers on its side without credit.
 */
constexpr std::size_t SharesMissedUnnoticed = 3;

}

CreditShareAssigner::CreditShareAssigner(Options givenOptions)
    : options(std::move(givenOptions))
{
}

std::size_t CreditShareAssigner::mostShares(std::size_t instances)
{
    const std::size_t size = std::max<std::size_t>(instances, 1);
    return (CreditShareCount + size - 1) / size;
}

std::size_t CreditShareAssigner::countHeard(const Inputs& inputs, Milliseconds now) const
{
    const auto isHeard = [&](const KnownMember& known) { return now - known.heardAt < this->options.lostAfter; };
    return 1 + static_cast<std::size_t>(std::count_if(inputs.members.begin(), inputs.members.end(), isHeard));
}

bool CreditShareAssigner::isLost(
    const CreditShareLease& share, const Inputs& inputs, Milliseconds lostAfter, Milliseconds now) const
{
    const peers::Member& holder = share.record()->member();
    if (isSameIncarnation(holder, this->options.self))
        return false;
    const std::string& name = holder.incarnation().name();
    const auto known = std::find_if(inputs.members.begin(), inputs.members.end(),
        [&](const KnownMember& item) { return item.member.incarnation().name() == name; });
    const bool isOwnName = name == this->options.self.incarnation().name();
    // An instance that has only just begun to lead has not received messages from all others yet.
    const Milliseconds knownSince = std::max(share.changedAt(), this->leadsSince);
    const auto heard = this->heard.find(name);
    const HolderNews news = heard == this->heard.end() ? HolderNews{} : heard->second;
    if (isOwnName || known != inputs.members.end()) {
        const peers::Member& present = isOwnName ? this->options.self : known->member;
        const bool isHeard = isOwnName || now - news.at < lostAfter;
        if (isHeard && isSameIncarnation(present, holder))
            return false;
        // A later run takes the share itself if it has the same address.
        if (isHeard)
            return !isSameAddress(present, holder)
                || now - std::max(knownSince, news.since) > this->options.restartTime;
    }
    return now - std::max(knownSince, news.at) > lostAfter;
}

CreditShareAssigner::Need CreditShareAssigner::needOf(
    const CreditShareLease& share, const Inputs& inputs, bool isCutOff, Milliseconds now) const
{
    if (share.isRemoved())
        return Need::Lost;
    if (!share.record())
        return share.revision() ? Need::Lost : Need::Free;
    if (share.record()->released())
        return Need::Free;
    const Milliseconds lostAfter = isCutOff ? this->options.lostAfterIfCutOff : this->options.lostAfter;
    return this->isLost(share, inputs, lostAfter, now) ? Need::Lost : Need::None;
}

void CreditShareAssigner::noteHolders(std::span<const CreditShareLease> shares, const Inputs& inputs, Milliseconds now)
{
    std::map<std::string, HolderNews> next;
    for (const CreditShareLease& share : shares) {
        if (!share.record())
            continue;
        const peers::Incarnation& run = share.record()->member().incarnation();
        if (share.record()->released())
            this->released[run.name()] = { .incarnation = run.number(), .at = share.changedAt() };
        const auto before = this->heard.find(run.name());
        next[run.name()] = before == this->heard.end() ? HolderNews{} : before->second;
    }
    const auto note = [&](const peers::Member& member, Milliseconds at) {
        const auto found = next.find(member.incarnation().name());
        if (found == next.end())
            return;
        HolderNews& news = found->second;
        news.at = std::max(news.at, at);
        if (news.incarnation != member.incarnation().number())
            news.since = now;
        news.incarnation = member.incarnation().number();
    };
    note(this->options.self, now);
    for (const KnownMember& known : inputs.members)
        note(known.member, known.heardAt);
    this->heard = std::move(next);
}

std::vector<CreditShareAssigner::Candidate> CreditShareAssigner::candidates(
    std::span<const CreditShareLease> shares, const Inputs& inputs, Milliseconds now) const
{
    std::vector<Candidate> list;
    list.push_back({ .member = this->options.self });
    for (const KnownMember& known : inputs.members) {
        // An instance that has nothing from the store yet would learn late that it is the holder.
        if (known.revision && now - known.heardAt < this->options.lostAfter)
            list.push_back({ .member = known.member });
    }
    const auto isStopping = [&](const Candidate& item) {
        const auto found = this->released.find(item.member.incarnation().name());
        return found != this->released.end() && found->second.incarnation == item.member.incarnation().number()
            && now - found->second.at < this->options.stopTime;
    };
    if (!std::all_of(list.begin(), list.end(), isStopping))
        std::erase_if(list, isStopping);
    for (Candidate& item : list) {
        item.held
            = static_cast<std::size_t>(std::count_if(shares.begin(), shares.end(), [&](const CreditShareLease& share) {
                  return share.holder() && share.holder()->incarnation().name() == item.member.incarnation().name();
              }));
    }
    return list;
}

std::vector<CreditShareAssigner::Assignment> CreditShareAssigner::assign(
    std::span<const CreditShareLease> shares, const Inputs& inputs, Milliseconds now)
{
    this->leadsSince = inputs.leads ? std::min(this->leadsSince, now) : Never;
    this->noteHolders(shares, inputs, now);
    // While the size of the fleet is unknown, this instance does not know the others yet.
    if (!inputs.leads || !inputs.fleetAtLeast)
        return {};
    const std::size_t heard = this->countHeard(inputs, now);
    const auto& first = shares.front().record();
    const bool isWholeGranted = first && grantsWholeQuota(*first);
    const auto missing
        = static_cast<std::size_t>(std::count_if(shares.begin(), shares.end(), [&](const CreditShareLease& share) {
              return !share.holder() || this->isLost(share, inputs, this->options.lostAfter, now);
          }));
    const bool waitsLonger = heard * 2 <= *inputs.fleetAtLeast || (missing <= SharesMissedUnnoticed && !isWholeGranted);
    // While share 0 waits, a holder of an earlier version may still grant the whole quota, and so all other shares too.
    const bool mayBeGrantedWhole = first && isStillWaiting(*first);
    std::vector<Candidate> list = this->candidates(shares, inputs, now);
    // Instances that are known but have nothing from the store yet will get their part in a moment.
    const std::size_t withoutView = static_cast<std::size_t>(std::count_if(inputs.members.begin(), inputs.members.end(),
        [&](const KnownMember& known) { return !known.revision && now - known.heardAt < this->options.lostAfter; }));
    const std::size_t most = mostShares(list.size() + withoutView);
    std::map<std::string, std::size_t> heldIn; // by data centre
    for (const Candidate& item : list)
        heldIn[item.member.data_centre()] += item.held;
    std::vector<Assignment> assignments;
    for (std::size_t share = 0; share < shares.size(); ++share) {
        const Need need = this->needOf(shares[share], inputs, waitsLonger, now);
        if (need == Need::None || (isWholeGranted && share))
            continue;
        const auto best
            = std::min_element(list.begin(), list.end(), [&](const Candidate& left, const Candidate& right) {
                  const auto keyOf = [&](const Candidate& item) {
                      return std::tuple(item.held >= most, heldIn[item.member.data_centre()], item.held,
                          ~item.member.capacity(), item.member.incarnation().name());
                  };
                  return keyOf(left) < keyOf(right);
              });
        if (best->held >= most)
            break;
        peers::Member holder = best->member;
        ++best->held;
        ++heldIn[holder.data_centre()];
        if (need == Need::Lost || (share && mayBeGrantedWhole && need == Need::Free)) {
            holder.clear_address();
            holder.clear_port();
        }
        assignments.push_back({ .share = share, .holder = std::move(holder) });
    }
    return assignments;
}

}
