#include "Platform/PlatformClient.h"

#include <algorithm>
#include <chrono>

namespace burlreach {

namespace {

constexpr Milliseconds CallTimeout{ 1500 };
constexpr Milliseconds WatchWait{ 25000 };
constexpr Milliseconds AfterFailure{ 500 };
constexpr Milliseconds PlanCheck{ 500 };

}

PlatformClient::PlatformClient(PlatformOptions givenOptions, const PlatformAdviser& givenAdviser, EventSink& givenSink,
    TrafficMetrics& givenMetrics)
    : options(std::move(givenOptions))
    , adviser(&givenAdviser)
    , sink(&givenSink)
    , metrics(&givenMetrics)
    , log("platform")
    , callConnection(this->options, CallTimeout)
    , configurationConnection(this->options, CallTimeout)
    , ownershipConnection(this->options, CallTimeout)
    , listConnection(this->options, CallTimeout)
{
}

PlatformClient::~PlatformClient()
{
    this->stop();
}

void PlatformClient::start()
{
    this->threads.emplace_back([this] { this->runCalls(); });
    this->threads.emplace_back([this] { this->runWatch(StoreDocument::Configuration, this->configurationConnection); });
    this->threads.emplace_back([this] { this->runWatch(StoreDocument::Ownership, this->ownershipConnection); });
    this->threads.emplace_back([this] { this->runLists(); });
}

void PlatformClient::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->configurationConnection.stop();
    this->ownershipConnection.stop();
    for (std::thread& thread : this->threads)
        thread.join();
    this->threads.clear();
}

void PlatformClient::call(const StoreRequest& request)
{
    {
        const std::lock_guard lock(this->mutex);
        this->calls.push_back(request);
    }
    this->changed.notify_all();
}

bool PlatformClient::pause(Milliseconds time)
{
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(
        lock, std::chrono::duration<double, std::milli>(time.count), [this] { return this->stopping; });
    return !this->stopping;
}

void PlatformClient::noteAnswer(bool answered)
{
    ++this->metrics->storeCalls;
    if (!answered)
        ++this->metrics->storeCallsFailed;
    const std::lock_guard lock(this->mutex);
    if (this->stopping || answered == this->reachable)
        return;
    this->reachable = answered;
    if (answered)
        this->log.info("The platform's service answers again.");
    else
        this->log.warning("The platform's service gives no answer; the configuration in force stays.");
}

void PlatformClient::runCalls()
{
    while (true) {
        StoreRequest request;
        {
            std::unique_lock lock(this->mutex);
            this->changed.wait(lock, [this] { return this->stopping || !this->calls.empty(); });
            if (this->stopping)
                return;
            request = std::move(this->calls.front());
            this->calls.pop_front();
        }
        const StoreAnswer answer = this->callConnection.call(request);
        this->noteAnswer(answer.status != StoreStatus::Unknown && answer.status != StoreStatus::Refused);
        this->sink->post(StoreAnswered{ .answer = answer });
    }
}

void PlatformClient::runWatch(StoreDocument document, PlatformConnection& connection)
{
    std::uint64_t index = NoStoreIndex;
    Milliseconds sincePoll;
    while (true) {
        const PlatformPlan plan = this->adviser->platformPlan();
        const bool isPollDue = sincePoll >= plan.documentPoll;
        if (!plan.watchesDocuments && !isPollDue) {
            sincePoll = sincePoll + PlanCheck;
            if (!this->pause(PlanCheck))
                return;
            continue;
        }
        sincePoll = {};
        // A poll asks for what is there now; a watch waits for the next change.
        const std::uint64_t known = plan.watchesDocuments ? index : NoStoreIndex;
        const auto found = connection.watch(document, known, WatchWait);
        this->noteAnswer(found.has_value());
        if (found && found->index != index && !found->value.empty())
            this->sink->post(StoreDocumentSeen{ .document = document, .value = found->value });
        if (found)
            index = found->index;
        const bool isThere = found && !found->value.empty();
        if (!this->pause(isThere ? Milliseconds{} : AfterFailure))
            return;
    }
}

void PlatformClient::runLists()
{
    while (true) {
        auto list = this->listConnection.instances();
        this->noteAnswer(list.has_value());
        if (list)
            this->sink->post(InstanceListSeen{ .list = std::move(*list) });
        const PlatformPlan plan = this->adviser->platformPlan();
        if (plan.watchesDocuments)
            this->readBackendServers();
        // The plan may change while the lists rest.
        Milliseconds rested;
        while (rested < this->adviser->platformPlan().listPoll) {
            rested = rested + PlanCheck;
            if (!this->pause(PlanCheck))
                return;
        }
    }
}

void PlatformClient::readBackendServers()
{
    for (const std::string& service : this->adviser->serviceNames()) {
        const auto servers = this->listConnection.backendServers(service);
        this->noteAnswer(servers.has_value());
        if (!servers)
            return;
        for (const ListedBackendServer& server : *servers) {
            const std::string key = service + "/" + server.name;
            // Only the change to leaving is news; the list lags behind a return.
            if (!server.leaving)
                this->listedLeaving.erase(key);
            else if (this->listedLeaving.insert(key).second)
                this->sink->post(BackendServerListedLeaving{ .service = service, .backendServer = server.name });
        }
    }
}

}
