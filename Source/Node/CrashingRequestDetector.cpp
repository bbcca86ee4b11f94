#include "Node/CrashingRequestDetector.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

constexpr std::string_view SeenHere = "here";
constexpr std::string_view ReportedByPeers = "news";
constexpr std::string_view ReadFromStore = "store";
/**
 * Requests with at least this many counted crashes are forwarded at once and kept in the store. A single crash says
 * little: it counts against every request in flight on that server.
 */
constexpr std::size_t CrashesToForward = 2;
/** Crashes of one request in the store record; three are enough to refuse it. */
constexpr std::size_t MaxStoredCrashesPerRequest = 8;

}

CrashingRequestDetector::CrashingRequestDetector(Options givenOptions, DecisionCounters& givenCounters)
    : options(std::move(givenOptions))
    , counters(&givenCounters)
    , table(this->options.table)
    , broken({})
{
}

CallerRequest CrashingRequestDetector::keyOf(const RequestState& request)
{
    return { .digest = request.digest,
        .caller = callerHash(request.caller),
        .hasOneAddress = request.service && request.service->pool.servers().size() <= 1 };
}

bool CrashingRequestDetector::isRefused(const RequestState& request, Milliseconds now) const
{
    return this->table.size() && this->table.isRefused(keyOf(request), now);
}

Milliseconds CrashingRequestDetector::refusedFor(const RequestState& request, Milliseconds now) const
{
    return std::max(Milliseconds{}, this->table.refusedUntil(request.digest) - now);
}

bool CrashingRequestDetector::mayBeCrashing(const RequestState& request) const
{
    return this->table.countedCrashes(keyOf(request)) + this->broken.countOf(request.digest)
        >= CrashTable::CrashesToConfirm;
}

void CrashingRequestDetector::sent(const RequestState& request, Milliseconds now)
{
    if (this->table.size())
        this->table.tried(request.digest, now);
}

void CrashingRequestDetector::connectionBroke(
    const RequestState& request, const BackendServerState& server, Milliseconds now, Actions& actions)
{
    // A draining or leaving server ends as planned.
    if (!server.takesNewRequests())
        return;
    const BrokenAttempt attempt{ .digest = request.digest,
        .backendServer = server.id(),
        .life = server.record().life,
        .address = server.record().address,
        .brokeAt = now,
        .route = request.route->name,
        .path = request.path,
        .caller = request.caller };
    if (this->broken.add(attempt, now))
        actions.emplace_back(CheckServer{ .backendServer = attempt.backendServer, .address = attempt.address });
}

void CrashingRequestDetector::answered(const RequestState& request, Milliseconds now, Actions& actions)
{
    if (!this->isSuspect(request))
        return;
    const bool isWidelyKnown = this->table.countedCrashes(request.digest) >= CrashesToForward;
    if (!this->table.answered(request.digest, callerHash(request.caller), now, now))
        return;
    this->counters->add(DecisionCount::CrashesDisproved);
    this->ownAnswers.push_back({ .digest = request.digest, .caller = callerHash(request.caller), .at = now });
    this->handleCleared(request.digest, SeenHere, actions);
    if (isWidelyKnown)
        this->scheduleReport(now);
}

void CrashingRequestDetector::handleCleared(const RequestDigest& digest, std::string_view heardFrom, Actions& actions)
{
    this->hasChanged = true;
    actions.emplace_back(knowledgeRecord("crash_suspicion_ended", digest.text()).with("heard_from", heardFrom));
}

void CrashingRequestDetector::handleServerCheck(const ServerChecked& event, Milliseconds now, Actions& actions)
{
    switch (event.result) {
    case ConnectOutcome::Refused:
        return this->handleServerCrash(event.backendServer, now, actions);
    case ConnectOutcome::Reused:
    case ConnectOutcome::Connected:
        return this->broken.connectionEstablished(event.backendServer, now);
    case ConnectOutcome::NoAnswer:
    case ConnectOutcome::RelayUnreached:
    case ConnectOutcome::RelayDeclined:
    case ConnectOutcome::RelayNoPath:
    case ConnectOutcome::RelayServiceUnreached:
    case ConnectOutcome::Abandoned:
        // A network failure breaks connections as well, so nothing is known about the process.
        return this->broken.forget(event.backendServer);
    }
}

void CrashingRequestDetector::handleServerReplaced(const std::string& backendServer, Milliseconds now, Actions& actions)
{
    this->handleServerCrash(backendServer, now, actions);
}

void CrashingRequestDetector::handleServerCrash(const std::string& backendServer, Milliseconds now, Actions& actions)
{
    for (const BrokenAttempt& attempt : this->broken.takeCrashed(backendServer)) {
        const std::uint64_t server = serverHash(attempt.backendServer, attempt.life);
        const ServerCrash end{ .server = server,
            .ordinal = this->table.nextOrdinal(attempt.digest, server, attempt.brokeAt),
            .address = attempt.address,
            .caller = callerHash(attempt.caller),
            .at = attempt.brokeAt };
        const bool wasCrashing = this->table.isCrashing(attempt.digest);
        if (!this->table.add(attempt.digest, end, now))
            continue;
        this->counters->add(DecisionCount::ServerEndsSeen);
        this->ownCrashes.push_back({ .digest = attempt.digest, .end = end });
        actions.emplace_back(knowledgeRecord("server_ended_under_request", attempt.digest.text())
                                 .with("server", attempt.backendServer)
                                 .with("route", attempt.route)
                                 .with("path", attempt.path)
                                 .with("caller", attempt.caller)
                                 .with("ends", std::uint64_t{ this->table.crashes(attempt.digest).size() })
                                 .with("counted", std::uint64_t{ this->table.countedCrashes(attempt.digest) }));
        this->handleNewCrash(attempt.digest, wasCrashing, SeenHere, actions);
        this->scheduleReport(now);
    }
}

void CrashingRequestDetector::handleNewCrash(
    const RequestDigest& digest, bool wasCrashing, std::string_view heardFrom, Actions& actions)
{
    this->hasChanged = this->hasChanged || this->table.countedCrashes(digest) >= CrashesToForward;
    if (wasCrashing || !this->table.isCrashing(digest))
        return;
    this->counters->add(DecisionCount::RequestsFoundCrashing);
    actions.emplace_back(knowledgeRecord("request_crashes_servers", digest.text())
                             .with("ends", std::uint64_t{ this->table.crashes(digest).size() })
                             .with("heard_from", heardFrom));
}

void CrashingRequestDetector::scheduleReport(Milliseconds now)
{
    this->reportAt = std::min(this->reportAt, std::max(now, this->lastReportAt + this->options.minReportInterval));
}

void CrashingRequestDetector::reportSent(Milliseconds now)
{
    this->lastReportAt = now;
    this->reportAt = Never;
}

std::vector<CrashReport> CrashingRequestDetector::crashesSince(Milliseconds from) const
{
    std::vector<CrashReport> found;
    for (const RequestDigest& digest : this->table.digestsWithCountedCrashes(0)) {
        for (const ServerCrash& end : this->table.crashes(digest)) {
            if (end.at > from)
                found.push_back({ .digest = digest, .end = end });
        }
    }
    return found;
}

void CrashingRequestDetector::write(std::vector<CrashReport> ends, std::span<const CrashTable::Answer> answers,
    Milliseconds now, peers::CrashNews& message) const
{
    // If the message cannot hold all, the requests closest to being refused go first.
    std::stable_sort(ends.begin(), ends.end(), [this](const CrashReport& left, const CrashReport& right) {
        return this->table.countedCrashes(left.digest) > this->table.countedCrashes(right.digest);
    });
    ends.resize(std::min(ends.size(), this->options.maxCrashesPerMessage));
    for (const CrashReport& item : ends)
        burlreach::write(item, now, *message.add_ends());
    for (const CrashTable::Answer& item : answers.first(std::min(answers.size(), this->options.maxCrashesPerMessage)))
        burlreach::write(
            AnswerReport{ .digest = item.digest, .caller = item.caller, .at = item.at }, now, *message.add_answers());
}

void CrashingRequestDetector::appendOwnReports(peers::CrashNews& message, Milliseconds now)
{
    this->dropExpiredReports(now);
    this->write(this->ownCrashes, this->ownAnswers, now, message);
}

void CrashingRequestDetector::appendAllReports(peers::CrashNews& message, Milliseconds now) const
{
    const Milliseconds from = now - this->options.reportFor;
    this->write(this->crashesSince(from), this->table.answersSince(from), now, message);
}

void CrashingRequestDetector::receive(
    const peers::CrashNews& message, bool passesOn, Milliseconds now, Actions& actions)
{
    for (const peers::RequestAnswered& item : message.answers()) {
        const auto report = read(item, now);
        if (report && this->table.answered(report->digest, report->caller, report->at, now))
            this->handleCleared(report->digest, ReportedByPeers, actions);
    }
    for (const peers::ServerEnd& item : message.ends()) {
        const auto report = read(item, now);
        if (!report)
            continue;
        const bool wasCrashing = this->table.isCrashing(report->digest);
        if (!this->table.add(report->digest, report->end, now))
            continue;
        this->handleNewCrash(report->digest, wasCrashing, ReportedByPeers, actions);
        if (passesOn && this->table.countedCrashes(report->digest) >= CrashesToForward)
            this->scheduleReport(now);
    }
}

peers::CrashNews CrashingRequestDetector::makeStoreRecord(Milliseconds now) const
{
    std::vector<RequestDigest> digests = this->table.digestsWithCountedCrashes(CrashesToForward);
    std::stable_sort(digests.begin(), digests.end(), [this](const RequestDigest& left, const RequestDigest& right) {
        return this->table.countedCrashes(left) > this->table.countedCrashes(right);
    });
    digests.resize(std::min(digests.size(), this->options.maxStoredRequests));
    peers::CrashNews message;
    for (const RequestDigest& digest : digests) {
        const auto ends = this->table.crashes(digest);
        for (const ServerCrash& end : ends.first(std::min(ends.size(), MaxStoredCrashesPerRequest)))
            burlreach::write(CrashReport{ .digest = digest, .end = end }, now, *message.add_ends());
        // Without the answer, a reader would take crashes from several callers as proof against all callers.
        if (this->table.answeredAt(digest) != LongAgo)
            burlreach::write(
                AnswerReport{ .digest = digest, .at = this->table.answeredAt(digest) }, now, *message.add_answers());
    }
    return message;
}

void CrashingRequestDetector::mergeStoreRecord(const peers::CrashNews& message, Milliseconds now, Actions& actions)
{
    this->hasChanged = true;
    for (const peers::ServerEnd& item : message.ends()) {
        const auto report = read(item, now);
        if (!report)
            continue;
        const bool wasCrashing = this->table.isCrashing(report->digest);
        if (this->table.addStored(report->digest, report->end, now))
            this->handleNewCrash(report->digest, wasCrashing, ReadFromStore, actions);
    }
    for (const peers::RequestAnswered& item : message.answers()) {
        if (const auto report = read(item, now))
            this->table.answered(report->digest, report->caller, report->at, now);
    }
}

bool CrashingRequestDetector::takeStoreRecordChanged()
{
    return std::exchange(this->hasChanged, false);
}

void CrashingRequestDetector::startSecondChecks(Milliseconds now, Actions& actions)
{
    for (ServerToCheck& server : this->broken.takeDueChecks(now))
        actions.emplace_back(
            CheckServer{ .backendServer = std::move(server.backendServer), .address = std::move(server.address) });
}

void CrashingRequestDetector::dropExpiredReports(Milliseconds now)
{
    const Milliseconds from = now - this->options.reportFor;
    std::erase_if(this->ownCrashes, [from](const CrashReport& item) { return item.end.at <= from; });
    std::erase_if(this->ownAnswers, [from](const CrashTable::Answer& item) { return item.at <= from; });
}

void CrashingRequestDetector::tick(Milliseconds now)
{
    // A single instance sends no reports, so appendOwnReports() does not drop old entries there.
    this->dropExpiredReports(now);
    const std::size_t before = this->table.size();
    this->table.expire(now);
    this->hasChanged = this->hasChanged || this->table.size() != before;
}

v1::ShowCrashingRequestsAnswer CrashingRequestDetector::show(Milliseconds now) const
{
    v1::ShowCrashingRequestsAnswer answer;
    for (const RequestDigest& digest : this->table.digestsWithCountedCrashes(0)) {
        v1::SuspectedRequest* request = answer.add_requests();
        request->set_digest(digest.text());
        const auto ends = this->table.crashes(digest);
        request->set_ends(static_cast<std::uint32_t>(ends.size()));
        request->set_counted_ends(static_cast<std::uint32_t>(this->table.countedCrashes(digest)));
        for (const ServerCrash& end : ends)
            request->add_addresses(end.address.text());
        request->set_refused(this->table.isCrashing(digest) && now < this->table.refusedUntil(digest));
        if (request->refused())
            request->set_refused_for_milliseconds(
                static_cast<std::uint32_t>((this->table.refusedUntil(digest) - now).count));
    }
    return answer;
}

}
