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
constexpr Milliseconds SameCrashPeriod{ 1000 };
/**
 * Crashes that are closer together than this count as one event, such as the loss of a rack, whose crashes instances
 * see within a few milliseconds. A request that crashes servers one after another takes longer to reach and crash the
 * next.
 */
constexpr Milliseconds SameEventPeriod{ 15 };
/** Maximum number of callers of one request whose answers are remembered. */
constexpr std::size_t MostAnswers = 16;

std::size_t addressesOf(std::span<const ServerCrash> crashes)
{
    std::set<NetworkAddress> addresses;
    for (const ServerCrash& crash : crashes)
        addresses.insert(crash.address);
    return addresses.size();
}

std::size_t callersOf(std::span<const ServerCrash> crashes)
{
    std::set<std::uint64_t> callers;
    for (const ServerCrash& crash : crashes)
        callers.insert(crash.caller);
    return callers.size();
}

/** Without duplicates of the same crash; the first one in the list stays. */
std::vector<ServerCrash> distinctCrashes(std::span<const ServerCrash> crashes)
{
    std::vector<ServerCrash> distinct;
    for (const ServerCrash& crash : crashes) {
        if (std::none_of(distinct.begin(), distinct.end(), [&](const ServerCrash& item) { return item.isSame(crash); }))
            distinct.push_back(crash);
    }
    return distinct;
}

std::size_t countEvents(std::vector<Milliseconds> times)
{
    std::sort(times.begin(), times.end());
    std::size_t events = 0;
    Milliseconds last = LongAgo;
    for (const Milliseconds time : times) {
        if (time - last < SameEventPeriod)
            continue;
        ++events;
        last = time;
    }
    return events;
}

}

CrashTable::CrashTable(Options givenOptions)
    : options(std::move(givenOptions))
{
}

Milliseconds CrashTable::Entry::lastCrash() const
{
    Milliseconds last = LongAgo;
    for (const ServerCrash& crash : this->crashes)
        last = std::max(last, crash.at);
    return last;
}

bool CrashTable::Entry::hasCrash(const ServerCrash& crash) const
{
    return std::any_of(
        this->crashes.begin(), this->crashes.end(), [&](const ServerCrash& known) { return known.isSame(crash); });
}

void CrashTable::Entry::updateCrashCount()
{
    this->crashCount = distinctCrashes(this->crashes).size();
}

bool CrashTable::isCleared(const RequestDigest& digest, const ServerCrash& crash) const
{
    const auto known = this->answers.find(digest);
    if (known == this->answers.end())
        return false;
    const auto answer = known->second.find(crash.caller);
    return answer != known->second.end() && crash.at <= answer->second;
}

bool CrashTable::add(const RequestDigest& digest, const ServerCrash& crash, Milliseconds now)
{
    if (!digest.isKnown() || this->isCleared(digest, crash))
        return false;
    if (!this->entries.contains(digest))
        this->evictIfFull(now);
    Entry& entry = this->entries[digest];
    const auto isKnown = [&](const ServerCrash& known) { return known.isSame(crash) && known.caller == crash.caller; };
    if (std::any_of(entry.crashes.begin(), entry.crashes.end(), isKnown)
        || entry.crashes.size() >= this->options.mostCrashes)
        return false;
    entry.crashes.push_back(crash);
    entry.updateCrashCount();
    this->invalidateEvaluations();
    return true;
}

bool CrashTable::addStored(const RequestDigest& digest, const ServerCrash& crash, Milliseconds now)
{
    const auto known = this->answers.find(digest);
    const bool wasAnswered = known != this->answers.end() && known->second.contains(crash.caller);
    return !wasAnswered && this->add(digest, crash, now);
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
    const bool hadUnclearedCrash = std::any_of(entry.crashes.begin(), entry.crashes.end(),
        [&](const ServerCrash& crash) { return crash.at > entry.answeredAt && crash.at <= at; });
    entry.answeredAt = std::max(entry.answeredAt, at);
    const std::size_t dropped = std::erase_if(
        entry.crashes, [&](const ServerCrash& crash) { return crash.caller == caller && crash.at <= at; });
    entry.updateCrashCount();
    if (entry.crashes.empty())
        this->entries.erase(found);
    this->invalidateEvaluations();
    return dropped > 0 || hadUnclearedCrash;
}

void CrashTable::tried(const RequestDigest& digest, Milliseconds now)
{
    const auto found = this->entries.find(digest);
    if (found != this->entries.end())
        found->second.triedAt = now;
}

Milliseconds CrashTable::expiresAt(const RequestDigest& digest, const Entry& entry) const
{
    const std::size_t counted = this->evaluation(digest, entry).counted;
    if (counted >= CrashesToConfirm)
        return entry.lastCrash() + this->options.crashingKept;
    return entry.lastCrash() + (counted > 1 ? this->options.suspectsKept : this->options.singleCrashKept);
}

void CrashTable::expire(Milliseconds now)
{
    std::vector<RequestDigest> expired;
    for (const auto& [digest, entry] : this->entries) {
        if (now >= this->expiresAt(digest, entry))
            expired.push_back(digest);
    }
    for (const RequestDigest& digest : expired)
        this->entries.erase(digest);
    if (!expired.empty())
        this->invalidateEvaluations();
    for (auto& [digest, known] : this->answers)
        std::erase_if(known, [&](const auto& item) { return now - item.second >= this->options.answersKept; });
    std::erase_if(this->answers, [](const auto& item) { return item.second.empty(); });
}

void CrashTable::evictIfFull(Milliseconds now)
{
    if (this->entries.size() >= this->options.mostRequests)
        this->expire(now);
    if (this->entries.size() < this->options.mostRequests)
        return;
    // Evicts the request that is least likely to be the cause of crashes: fewest crashes, then the oldest last crash.
    const auto rank = [](const Entry& entry) { return std::pair(entry.crashes.size(), entry.lastCrash()); };
    const auto least = std::min_element(this->entries.begin(), this->entries.end(),
        [&](const auto& left, const auto& right) { return rank(left.second) < rank(right.second); });
    this->entries.erase(least);
    this->invalidateEvaluations();
}

std::span<const ServerCrash> CrashTable::crashes(const RequestDigest& digest) const
{
    const auto found = this->entries.find(digest);
    return found == this->entries.end() ? std::span<const ServerCrash>() : found->second.crashes;
}

std::vector<ServerCrash> CrashTable::crashesOfCaller(const Entry& entry, std::uint64_t caller)
{
    std::vector<ServerCrash> found;
    std::copy_if(entry.crashes.begin(), entry.crashes.end(), std::back_inserter(found),
        [caller](const ServerCrash& crash) { return crash.caller == caller; });
    return found;
}

std::vector<ServerCrash> CrashTable::crashesOfAllCallers(const Entry& entry)
{
    std::vector<ServerCrash> found;
    std::copy_if(entry.crashes.begin(), entry.crashes.end(), std::back_inserter(found),
        [&](const ServerCrash& crash) { return crash.at > entry.answeredAt; });
    if (callersOf(found) < 2)
        found.clear();
    return found;
}

bool CrashTable::isExplainedByOther(const RequestDigest& digest, const Entry& entry, const ServerCrash& crash) const
{
    const std::size_t own = entry.crashCount;
    return std::any_of(this->entries.begin(), this->entries.end(), [&](const auto& item) {
        const std::size_t others = item.second.crashCount;
        // With three crashes each, the two requests cannot be told apart until the next crash.
        const bool hasMoreCrashes = others > own || (others == own && own == CrashesToConfirm);
        return others >= CrashesToConfirm && hasMoreCrashes && item.first != digest && item.second.hasCrash(crash);
    });
}

std::size_t CrashTable::countCrashes(
    const RequestDigest& digest, const Entry& entry, std::span<const ServerCrash> crashes) const
{
    std::vector<Milliseconds> unexplained;
    std::size_t explained = 0;
    for (const ServerCrash& crash : distinctCrashes(crashes)) {
        if (this->isExplainedByOther(digest, entry, crash))
            ++explained;
        else
            unexplained.push_back(crash.at);
    }
    // Two requests that both crash servers may have met at several servers: explained crashes together count as one, so
    // that the overlap costs a request one further crash instead of several.
    return countEvents(std::move(unexplained)) + (explained > 1 ? 1 : 0);
}

CrashTable::Evaluation CrashTable::evaluate(const RequestDigest& digest, const Entry& entry) const
{
    constexpr bool oneAddress = false;
    const std::vector<ServerCrash> all = crashesOfAllCallers(entry);
    Evaluation found{ .counted = this->countCrashes(digest, entry, all),
        .isCrashing = this->isConclusive(digest, entry, all, oneAddress) };
    std::set<std::uint64_t> callers;
    for (const ServerCrash& crash : entry.crashes) {
        if (!callers.insert(crash.caller).second)
            continue;
        const std::vector<ServerCrash> byCaller = crashesOfCaller(entry, crash.caller);
        found.counted = std::max(found.counted, this->countCrashes(digest, entry, byCaller));
        found.isCrashing = found.isCrashing || this->isConclusive(digest, entry, byCaller, oneAddress);
    }
    return found;
}

const CrashTable::Evaluation& CrashTable::evaluation(const RequestDigest& digest, const Entry& entry) const
{
    const auto known = this->evaluations.find(digest);
    if (known != this->evaluations.end())
        return known->second;
    return this->evaluations.emplace(digest, this->evaluate(digest, entry)).first->second;
}

std::size_t CrashTable::countedCrashes(const RequestDigest& digest) const
{
    const auto found = this->entries.find(digest);
    return found == this->entries.end() ? 0 : this->evaluation(digest, found->second).counted;
}

std::size_t CrashTable::countedCrashes(const CallerRequest& request) const
{
    const auto found = this->entries.find(request.digest);
    if (found == this->entries.end())
        return 0;
    const Entry& entry = found->second;
    return std::max(this->countCrashes(request.digest, entry, crashesOfAllCallers(entry)),
        this->countCrashes(request.digest, entry, crashesOfCaller(entry, request.caller)));
}

bool CrashTable::isConclusive(
    const RequestDigest& digest, const Entry& entry, std::span<const ServerCrash> crashes, bool oneAddress) const
{
    if (crashes.size() < CrashesToConfirm)
        return false;
    // Repeated crashes of a single server are no evidence against the requests there.
    const bool hasEnoughAddresses = oneAddress || addressesOf(crashes) > 1;
    return hasEnoughAddresses && this->countCrashes(digest, entry, crashes) >= CrashesToConfirm;
}

bool CrashTable::isCrashing(const RequestDigest& digest) const
{
    const auto found = this->entries.find(digest);
    return found != this->entries.end() && this->evaluation(digest, found->second).isCrashing;
}

bool CrashTable::isRefused(const CallerRequest& request, Milliseconds now) const
{
    const auto found = this->entries.find(request.digest);
    if (found == this->entries.end() || now >= this->refusedUntil(request.digest, found->second))
        return false;
    const Entry& entry = found->second;
    if (!request.hasOneAddress && !this->evaluation(request.digest, entry).isCrashing)
        return false;
    return this->isConclusive(request.digest, entry, crashesOfCaller(entry, request.caller), request.hasOneAddress)
        || this->isConclusive(request.digest, entry, crashesOfAllCallers(entry), request.hasOneAddress);
}

Milliseconds CrashTable::refusedUntil(const RequestDigest& digest, const Entry& entry) const
{
    const std::size_t furtherCrashes = std::max(entry.crashCount, CrashesToConfirm) - CrashesToConfirm;
    const double factor = std::pow(this->options.refusalGrowth, static_cast<double>(furtherCrashes));
    const Milliseconds period = std::min(this->options.firstRefusal * factor, this->options.longestRefusal);
    const std::uint64_t draw = hashOf(this->options.instance, digest.low);
    const double unit = static_cast<double>(draw) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return std::max(entry.lastCrash() + period * (1 + this->options.refusalSpread * unit),
        entry.triedAt + this->options.minTryInterval);
}

Milliseconds CrashTable::refusedUntil(const RequestDigest& digest) const
{
    const auto found = this->entries.find(digest);
    return found == this->entries.end() ? LongAgo : this->refusedUntil(digest, found->second);
}

std::uint32_t CrashTable::nextOrdinal(const RequestDigest& digest, std::uint64_t server, Milliseconds at) const
{
    std::uint32_t next = 1;
    for (const ServerCrash& crash : this->crashes(digest)) {
        if (crash.server != server)
            continue;
        const bool isSameCrash = at - crash.at < SameCrashPeriod;
        next = std::max(next, isSameCrash ? crash.ordinal : crash.ordinal + 1);
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

std::vector<RequestDigest> CrashTable::digestsWithCountedCrashes(std::size_t least) const
{
    std::vector<RequestDigest> found;
    for (const auto& [digest, entry] : this->entries) {
        if (!least || this->evaluation(digest, entry).counted >= least)
            found.push_back(digest);
    }
    std::sort(found.begin(), found.end());
    return found;
}

}
