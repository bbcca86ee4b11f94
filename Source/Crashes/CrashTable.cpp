#include "Crashes/CrashTable.h"

#include "Base/Hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace burlreach {

namespace {

/** Attempts that broke at one server within this time saw the same crash: no process restarts faster. */
constexpr Milliseconds SameEnd{ 1000 };
/**
 * Crashes that are closer together than this count as one event, such as the loss of a rack, whose crashes instances
 * see within a few milliseconds. A request that crashes servers one after another takes longer to reach and crash the
 * next.
 */
constexpr Milliseconds SameMoment{ 15 };
/** Maximum number of callers of one request whose answers are remembered. */
constexpr std::size_t MostAnswers = 16;

std::size_t addressesOf(std::span<const ServerEnd> ends)
{
    std::set<NetworkAddress> addresses;
    for (const ServerEnd& end : ends)
        addresses.insert(end.address);
    return addresses.size();
}

std::size_t callersOf(std::span<const ServerEnd> ends)
{
    std::set<std::uint64_t> callers;
    for (const ServerEnd& end : ends)
        callers.insert(end.caller);
    return callers.size();
}

/** Without duplicates of the same crash; the first one in the list stays. */
std::vector<ServerEnd> distinctOf(std::span<const ServerEnd> ends)
{
    std::vector<ServerEnd> distinct;
    for (const ServerEnd& end : ends) {
        if (std::none_of(distinct.begin(), distinct.end(), [&](const ServerEnd& item) { return item.isSame(end); }))
            distinct.push_back(end);
    }
    return distinct;
}

std::size_t momentsOf(std::vector<Milliseconds> times)
{
    std::sort(times.begin(), times.end());
    std::size_t moments = 0;
    Milliseconds last = LongAgo;
    for (const Milliseconds time : times) {
        if (time - last < SameMoment)
            continue;
        ++moments;
        last = time;
    }
    return moments;
}

}

CrashTable::CrashTable(Options givenOptions)
    : options(std::move(givenOptions))
{
}

Milliseconds CrashTable::Entry::lastEnd() const
{
    Milliseconds last = LongAgo;
    for (const ServerEnd& end : this->ends)
        last = std::max(last, end.at);
    return last;
}

bool CrashTable::Entry::has(const ServerEnd& end) const
{
    return std::any_of(this->ends.begin(), this->ends.end(), [&](const ServerEnd& known) { return known.isSame(end); });
}

void CrashTable::Entry::endsChanged()
{
    this->servers = distinctOf(this->ends).size();
}

bool CrashTable::isCleared(const RequestDigest& digest, const ServerEnd& end) const
{
    const auto known = this->answers.find(digest);
    if (known == this->answers.end())
        return false;
    const auto answer = known->second.find(end.caller);
    return answer != known->second.end() && end.at <= answer->second;
}

bool CrashTable::add(const RequestDigest& digest, const ServerEnd& end, Milliseconds now)
{
    if (!digest.isKnown() || this->isCleared(digest, end))
        return false;
    if (!this->entries.contains(digest))
        this->makeRoom(now);
    Entry& entry = this->entries[digest];
    const auto isKnown = [&](const ServerEnd& known) { return known.isSame(end) && known.caller == end.caller; };
    if (std::any_of(entry.ends.begin(), entry.ends.end(), isKnown) || entry.ends.size() >= this->options.mostEnds)
        return false;
    entry.ends.push_back(end);
    entry.endsChanged();
    this->changed();
    return true;
}

bool CrashTable::addKept(const RequestDigest& digest, const ServerEnd& end, Milliseconds now)
{
    const auto known = this->answers.find(digest);
    const bool wasAnswered = known != this->answers.end() && known->second.contains(end.caller);
    return !wasAnswered && this->add(digest, end, now);
}

bool CrashTable::answered(const RequestDigest& digest, std::uint64_t caller, Milliseconds at, Milliseconds now)
{
    if (this->answers.size() >= this->options.mostRequests)
        this->expire(now);
    if (!this->answers.contains(digest) && this->answers.size() >= this->options.mostRequests)
        return false;
    Answers& known = this->answers[digest];
    if (known.contains(caller) || known.size() < MostAnswers)
        known[caller] = std::max(known.try_emplace(caller, LongAgo).first->second, at);
    const auto found = this->entries.find(digest);
    if (found == this->entries.end())
        return false;
    Entry& entry = found->second;
    const bool wasOpen = std::any_of(entry.ends.begin(), entry.ends.end(),
        [&](const ServerEnd& end) { return end.at > entry.answeredAt && end.at <= at; });
    entry.answeredAt = std::max(entry.answeredAt, at);
    const std::size_t dropped
        = std::erase_if(entry.ends, [&](const ServerEnd& end) { return end.caller == caller && end.at <= at; });
    entry.endsChanged();
    if (entry.ends.empty())
        this->entries.erase(found);
    this->changed();
    return dropped > 0 || wasOpen;
}

void CrashTable::tried(const RequestDigest& digest, Milliseconds now)
{
    const auto found = this->entries.find(digest);
    if (found != this->entries.end())
        found->second.triedAt = now;
}

Milliseconds CrashTable::keptUntil(const RequestDigest& digest, const Entry& entry) const
{
    const std::size_t counted = this->finding(digest, entry).counted;
    if (counted >= ServersThatProve)
        return entry.lastEnd() + this->options.crashingKept;
    return entry.lastEnd() + (counted > 1 ? this->options.suspectsKept : this->options.singlesKept);
}

void CrashTable::expire(Milliseconds now)
{
    std::vector<RequestDigest> over;
    for (const auto& [digest, entry] : this->entries) {
        if (now >= this->keptUntil(digest, entry))
            over.push_back(digest);
    }
    for (const RequestDigest& digest : over)
        this->entries.erase(digest);
    if (!over.empty())
        this->changed();
    for (auto& [digest, known] : this->answers)
        std::erase_if(known, [&](const auto& item) { return now - item.second >= this->options.answersKept; });
    std::erase_if(this->answers, [](const auto& item) { return item.second.empty(); });
}

void CrashTable::makeRoom(Milliseconds now)
{
    if (this->entries.size() >= this->options.mostRequests)
        this->expire(now);
    if (this->entries.size() < this->options.mostRequests)
        return;
    // Evicts the request that is least likely to be the cause of crashes: fewest crashes, then the oldest last crash.
    const auto rank = [](const Entry& entry) { return std::pair(entry.ends.size(), entry.lastEnd()); };
    const auto least = std::min_element(this->entries.begin(), this->entries.end(),
        [&](const auto& left, const auto& right) { return rank(left.second) < rank(right.second); });
    this->entries.erase(least);
    this->changed();
}

std::span<const ServerEnd> CrashTable::ends(const RequestDigest& digest) const
{
    const auto found = this->entries.find(digest);
    return found == this->entries.end() ? std::span<const ServerEnd>() : found->second.ends;
}

std::vector<ServerEnd> CrashTable::ofCaller(const Entry& entry, std::uint64_t caller)
{
    std::vector<ServerEnd> found;
    std::copy_if(entry.ends.begin(), entry.ends.end(), std::back_inserter(found),
        [caller](const ServerEnd& end) { return end.caller == caller; });
    return found;
}

std::vector<ServerEnd> CrashTable::ofAll(const Entry& entry)
{
    std::vector<ServerEnd> found;
    std::copy_if(entry.ends.begin(), entry.ends.end(), std::back_inserter(found),
        [&](const ServerEnd& end) { return end.at > entry.answeredAt; });
    if (callersOf(found) < 2)
        found.clear();
    return found;
}

bool CrashTable::isExplained(const RequestDigest& digest, const Entry& entry, const ServerEnd& end) const
{
    const std::size_t own = entry.servers;
    return std::any_of(this->entries.begin(), this->entries.end(), [&](const auto& item) {
        const std::size_t others = item.second.servers;
        // With three crashes each, the two requests cannot be told apart until the next crash.
        const bool isHeavier = others > own || (others == own && own == ServersThatProve);
        return others >= ServersThatProve && isHeavier && item.first != digest && item.second.has(end);
    });
}

std::size_t CrashTable::counted(const RequestDigest& digest, const Entry& entry, std::span<const ServerEnd> ends) const
{
    std::vector<Milliseconds> unexplained;
    std::size_t explained = 0;
    for (const ServerEnd& end : distinctOf(ends)) {
        if (this->isExplained(digest, entry, end))
            ++explained;
        else
            unexplained.push_back(end.at);
    }
    // Two requests that both crash servers may have met at several servers: explained crashes together count as one, so
    // that the overlap costs a request one further crash instead of several.
    return momentsOf(std::move(unexplained)) + (explained > 1 ? 1 : 0);
}

CrashTable::Finding CrashTable::findingOf(const RequestDigest& digest, const Entry& entry) const
{
    constexpr bool oneAddress = false;
    const std::vector<ServerEnd> all = ofAll(entry);
    Finding found{ .counted = this->counted(digest, entry, all),
        .isCrashing = this->isProof(digest, entry, all, oneAddress) };
    std::set<std::uint64_t> callers;
    for (const ServerEnd& end : entry.ends) {
        if (!callers.insert(end.caller).second)
            continue;
        const std::vector<ServerEnd> some = ofCaller(entry, end.caller);
        found.counted = std::max(found.counted, this->counted(digest, entry, some));
        found.isCrashing = found.isCrashing || this->isProof(digest, entry, some, oneAddress);
    }
    return found;
}

const CrashTable::Finding& CrashTable::finding(const RequestDigest& digest, const Entry& entry) const
{
    const auto known = this->findings.find(digest);
    if (known != this->findings.end())
        return known->second;
    return this->findings.emplace(digest, this->findingOf(digest, entry)).first->second;
}

std::size_t CrashTable::countedEnds(const RequestDigest& digest) const
{
    const auto found = this->entries.find(digest);
    return found == this->entries.end() ? 0 : this->finding(digest, found->second).counted;
}

std::size_t CrashTable::countedEnds(const CallersRequest& request) const
{
    const auto found = this->entries.find(request.digest);
    if (found == this->entries.end())
        return 0;
    const Entry& entry = found->second;
    return std::max(this->counted(request.digest, entry, ofAll(entry)),
        this->counted(request.digest, entry, ofCaller(entry, request.caller)));
}

bool CrashTable::isProof(
    const RequestDigest& digest, const Entry& entry, std::span<const ServerEnd> ends, bool oneAddress) const
{
    if (ends.size() < ServersThatProve)
        return false;
    // Repeated crashes of a single server are no evidence against the requests there.
    const bool isElsewhereToo = oneAddress || addressesOf(ends) > 1;
    return isElsewhereToo && this->counted(digest, entry, ends) >= ServersThatProve;
}

bool CrashTable::isCrashing(const RequestDigest& digest) const
{
    const auto found = this->entries.find(digest);
    return found != this->entries.end() && this->finding(digest, found->second).isCrashing;
}

bool CrashTable::isRefused(const CallersRequest& request, Milliseconds now) const
{
    const auto found = this->entries.find(request.digest);
    if (found == this->entries.end() || now >= this->refusedUntil(request.digest, found->second))
        return false;
    const Entry& entry = found->second;
    if (!request.hasOneAddress && !this->finding(request.digest, entry).isCrashing)
        return false;
    return this->isProof(request.digest, entry, ofCaller(entry, request.caller), request.hasOneAddress)
        || this->isProof(request.digest, entry, ofAll(entry), request.hasOneAddress);
}

Milliseconds CrashTable::refusedUntil(const RequestDigest& digest, const Entry& entry) const
{
    const std::size_t further = std::max(entry.servers, ServersThatProve) - ServersThatProve;
    const double longer = std::pow(this->options.growth, static_cast<double>(further));
    const Milliseconds span = std::min(this->options.firstRefusal * longer, this->options.longestRefusal);
    const std::uint64_t draw = hashOf(this->options.instance, digest.low);
    const double unit = static_cast<double>(draw) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return std::max(entry.lastEnd() + span * (1 + this->options.spread * unit), entry.triedAt + this->options.tryGap);
}

Milliseconds CrashTable::refusedUntil(const RequestDigest& digest) const
{
    const auto found = this->entries.find(digest);
    return found == this->entries.end() ? LongAgo : this->refusedUntil(digest, found->second);
}

std::uint32_t CrashTable::nextOrdinal(const RequestDigest& digest, std::uint64_t server, Milliseconds at) const
{
    std::uint32_t next = 1;
    for (const ServerEnd& end : this->ends(digest)) {
        if (end.server != server)
            continue;
        const bool isThisOne = at - end.at < SameEnd;
        next = std::max(next, isThisOne ? end.ordinal : end.ordinal + 1);
    }
    return next;
}

Milliseconds CrashTable::answeredAt(const RequestDigest& digest) const
{
    const auto found = this->entries.find(digest);
    return found == this->entries.end() ? LongAgo : found->second.answeredAt;
}

std::vector<CrashTable::Answer> CrashTable::answersSince(Milliseconds from) const
{
    std::vector<Answer> found;
    for (const auto& [digest, known] : this->answers) {
        for (const auto& [caller, at] : known) {
            if (at > from)
                found.push_back({ .digest = digest, .caller = caller, .at = at });
        }
    }
    std::sort(found.begin(), found.end(), [](const Answer& left, const Answer& right) { return left.at > right.at; });
    return found;
}

std::vector<RequestDigest> CrashTable::withCountedEnds(std::size_t least) const
{
    std::vector<RequestDigest> found;
    for (const auto& [digest, entry] : this->entries) {
        if (!least || this->finding(digest, entry).counted >= least)
            found.push_back(digest);
    }
    std::sort(found.begin(), found.end());
    return found;
}

}
