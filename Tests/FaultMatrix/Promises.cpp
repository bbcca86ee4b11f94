#include "Tests/FaultMatrix/Promises.h"

#include <algorithm>

namespace burlreach {

namespace {

/** Allowance for the latency of timers and messages in the simulation. */
constexpr Milliseconds Grace{ 60 };

}

Promises::Promises(const VirtualFleet& givenFleet)
    : fleet(&givenFleet)
{
}

int Promises::runsOf(const std::string& requestId) const
{
    int runs = 0;
    for (const std::string& id : this->fleet->serverIds()) {
        const auto& journal = this->fleet->server(id).journal();
        const auto found = journal.find(requestId);
        runs += found == journal.end() ? 0 : found->second;
    }
    return runs;
}

void Promises::checkCaller(const VirtualCaller& caller)
{
    const int runs = this->runsOf(caller.requestId);
    if (caller.runOnce && runs > 1)
        this->sentences.push_back(caller.requestId + " may run only once but ran " + std::to_string(runs) + " times");
    if (caller.outcome == CallerOutcome::NotRun && runs)
        this->sentences.push_back(caller.requestId + " was refused as \"not run\" but ran");
    if (caller.outcome == CallerOutcome::Answered && caller.answerOf != caller.requestId)
        this->sentences.push_back(caller.requestId + " received the answer to " + caller.answerOf);
    if (caller.outcome == CallerOutcome::Answered && !runs)
        this->sentences.push_back(caller.requestId + " received an answer but did not run");
    const Milliseconds end = caller.outcome == CallerOutcome::Waiting ? this->fleet->now() : caller.endedAt;
    const bool isExcused = caller.outcome == CallerOutcome::Cut || caller.kind == "frozen";
    if (!isExcused && end > caller.deadline + Grace)
        this->sentences.push_back(caller.requestId + " had no final answer by its deadline");
    if (caller.wasCutByStop)
        this->sentences.push_back(caller.requestId + " was cut off by the end of a planned stop");
    const bool isRefused = caller.outcome == CallerOutcome::NotRun || caller.outcome == CallerOutcome::Unknown;
    if (isRefused && caller.comeBackAfter.count <= 0)
        this->sentences.push_back(caller.requestId + " was refused without a time after which to retry");
}

void Promises::checkRequests()
{
    for (const auto& [number, caller] : this->fleet->callers())
        this->checkCaller(caller);
}

void Promises::checkCrashes(Milliseconds notBefore, std::size_t struckInstance)
{
    constexpr std::size_t proof = 3;
    constexpr std::size_t mostLater = 3;
    constexpr Milliseconds contact{ 3000 };
    std::vector<Milliseconds> ends;
    for (const std::string& id : this->fleet->serverIds()) {
        const auto& some = this->fleet->server(id).crashes();
        ends.insert(ends.end(), some.begin(), some.end());
    }
    std::sort(ends.begin(), ends.end());
    for (const auto& [number, caller] : this->fleet->callers()) {
        const bool isRefused = caller.outcome == CallerOutcome::NotRun || caller.outcome == CallerOutcome::Unknown;
        if (isRefused && !caller.crashesServers && caller.reason == RefusalReason::CrashesBackendServers)
            this->sentences.push_back(caller.requestId + " was refused as one that crashes servers");
    }
    if (ends.size() < proof)
        return;
    const Milliseconds known = std::max(ends[proof - 1], notBefore) + contact;
    const auto& all = this->fleet->sentAttempts();
    const auto later = static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](const SentAttempt& attempt) {
        return attempt.crashesServers && attempt.isListening && attempt.instance != struckInstance
            && attempt.at > known;
    }));
    if (later > mostLater)
        this->sentences.push_back("a request that crashes servers was sent " + std::to_string(later)
            + " times after all instances should have known of it; " + std::to_string(ends.size())
            + " servers crashed");
}

void Promises::checkUnused(const std::string& serverId, Milliseconds from, Milliseconds until)
{
    for (const SentAttempt& attempt : this->fleet->sentAttempts()) {
        const bool isThere = attempt.backendServer.find("/" + serverId + "@") != std::string::npos;
        if (isThere && attempt.at > from && attempt.at < until)
            this->sentences.push_back(attempt.requestId + " was sent to " + serverId
                + " in an emptied data centre by entry-" + std::to_string(attempt.instance + 1) + " "
                + std::to_string((attempt.at - from).count) + " ms late");
    }
}

void Promises::checkUsed(const std::string& serverId, Milliseconds from)
{
    const auto& all = this->fleet->sentAttempts();
    const bool isUsed = std::any_of(all.begin(), all.end(), [&](const SentAttempt& attempt) {
        return attempt.at > from && attempt.backendServer.find("/" + serverId + "@") != std::string::npos;
    });
    if (!isUsed)
        this->sentences.push_back("nothing was sent to " + serverId + " after its data centre was put back into use");
}

void Promises::checkDrain(const std::string& serverId, Milliseconds acknowledged, Milliseconds bound)
{
    for (const SentAttempt& attempt : this->fleet->sentAttempts()) {
        const bool isThere = attempt.backendServer.find("/" + serverId + "@") != std::string::npos;
        if (isThere && attempt.at > acknowledged + bound)
            this->sentences.push_back(attempt.requestId + " was sent to " + serverId + " "
                + std::to_string((attempt.at - acknowledged).count) + " ms after its drain by entry-"
                + std::to_string(attempt.instance + 1));
    }
}

}
