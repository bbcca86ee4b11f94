#include "Tests/Soak/SoakFleet.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <fstream>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace burlreach {

namespace {

constexpr int StatusOk = 200;
constexpr int CallSeconds = 2;
constexpr auto Pause = std::chrono::milliseconds(50);
constexpr Milliseconds StartPatience{ 15000 };
constexpr std::size_t SeedInstances = 3;
constexpr std::size_t DataCentres = 3;

std::string local(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

template <typename Condition>
bool waitFor(Milliseconds patience, Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double, std::milli>(patience.count);
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(Pause);
    }
    return true;
}

/** The largest number that follows this text in a file. */
std::uint64_t largestBehind(const std::string& path, const std::string& text)
{
    std::ifstream file(path);
    std::uint64_t largest = 0;
    for (std::string line; std::getline(file, line);) {
        const auto place = line.find(text);
        if (place != std::string::npos)
            largest = std::max<std::uint64_t>(largest, std::strtoull(line.c_str() + place + text.size(), nullptr, 10));
    }
    return largest;
}

}

SoakFleet::SoakFleet(const Options& givenOptions)
    : options(givenOptions)
    , work(asio::make_work_guard(this->context))
    , store(this->program("store",
          { this->options.build + "/StandIns/StoreStandIn", "--port", std::to_string(this->port(Part::Store)) }))
    , instances(givenOptions.instances)
    , backendServers(givenOptions.servers)
    , newLives({ .startCall = [this](std::size_t server, std::uint64_t life,
                                  unsigned tries) { return this->startNamingLife(server, life, tries); },
          .known = [this](std::size_t server) { tellStandIn(this->port(Part::Server, server), "new-life-known"); } })
{
    for (std::size_t index = 0; index < this->backendServers.size(); ++index)
        this->addServer(index);
    for (std::size_t index = 0; index < this->instances.size(); ++index)
        this->addInstance(index);
    if (this->options.hasCrashingRequest) {
        CrashingLoad::Options load{ .build = this->options.build,
            .folder = this->options.folder,
            .firstServerPort = this->port(Part::CrashingServer),
            .callersPorts = {} };
        for (std::size_t index = 0; index < this->instances.size(); ++index)
            load.callersPorts.push_back(this->port(Part::Callers, index));
        this->crashingLoad = std::make_unique<CrashingLoad>(std::move(load));
    }
    this->proxies = std::thread([this] { this->context.run(); });
}

SoakFleet::~SoakFleet()
{
    this->crashingLoad.reset();
    this->change.reset();
    for (Instance& instance : this->instances)
        instance.process.reset();
    for (Server& server : this->backendServers)
        server.process.reset();
    this->store.reset();
    this->context.stop();
    this->proxies.join();
}

std::uint16_t SoakFleet::port(Part part, std::size_t index) const
{
    return static_cast<std::uint16_t>(this->options.firstPort + static_cast<std::uint16_t>(part) + index);
}

std::string SoakFleet::journalPath(std::size_t server) const
{
    return this->pathOf("journal-" + std::to_string(server));
}

std::string SoakFleet::arrivalsPath(std::size_t server) const
{
    return this->pathOf("arrivals-" + std::to_string(server));
}

RetryLimits SoakFleet::retryLimits()
{
    // Smaller than usual, since the fleet is small and the faults are short.
    return { .share = 0.2, .slack = 8, .window = { 2000 } };
}

std::unique_ptr<ChildProcess> SoakFleet::program(const std::string& name, std::vector<std::string> command) const
{
    return std::make_unique<ChildProcess>(
        ChildProcess::Options{ .command = std::move(command), .logPath = this->pathOf(name + ".log") });
}

void SoakFleet::addServer(std::size_t index)
{
    const std::string name = "offers-" + std::to_string(index);
    Server& server = this->backendServers[index];
    server.process = this->program(name,
        { this->options.build + "/StandIns/BackendServerStandIn", "--name", name, "--port",
            std::to_string(this->port(Part::Server, index)), "--journal", this->journalPath(index), "--arrivals",
            this->arrivalsPath(index) });
    server.proxy = std::make_unique<LoopbackProxy>(this->context,
        LoopbackProxy::Options{
            .port = this->port(Part::ServerProxy, index), .targets = { this->port(Part::Server, index) } });
}

void SoakFleet::addInstance(std::size_t index)
{
    const std::string name = "entry-" + std::to_string(index);
    Instance& instance = this->instances[index];
    this->writeSettings(index);
    std::vector<std::string> command{ this->options.build + "/burlreach", "serve", "--settings",
        this->pathOf(name + ".json") };
    if (this->options.hasCrashingRequest) {
        std::ofstream(this->clockPath(index)) << "0\n";
        command.front() = this->options.build + "/StandIns/SuspendableBurlreach";
        command.insert(command.begin(), { "/usr/bin/env", "SUSPENDED_CLOCK=" + this->clockPath(index) });
    }
    if (this->options.hasRelays) {
        this->setPathsCut(index, false);
        command.front() = this->options.build + "/StandIns/CutOffBurlreach";
        command.insert(command.begin(), { "/usr/bin/env", "CUT_PORTS=" + this->cutPath(index) });
    }
    instance.process = this->program(name, std::move(command));
    // Connections to an instance that does not listen go to the next one.
    std::vector<std::uint16_t> targets;
    for (std::size_t step = 0; step < this->instances.size(); ++step)
        targets.push_back(this->port(Part::Callers, (index + step) % this->instances.size()));
    instance.callers = std::make_unique<LoopbackProxy>(
        this->context, LoopbackProxy::Options{ .port = this->port(Part::CallersProxy, index), .targets = targets });
    instance.store = std::make_unique<LoopbackProxy>(this->context,
        LoopbackProxy::Options{ .port = this->port(Part::StoreProxy, index), .targets = { this->port(Part::Store) } });
}

void SoakFleet::writeSettings(std::size_t index) const
{
    nlohmann::json seeds = nlohmann::json::array();
    for (std::size_t seed = 0; seed < std::min(SeedInstances, this->options.instances); ++seed)
        seeds.push_back(local(this->port(Part::Peers, seed)));
    const std::string name = "entry-" + std::to_string(index);
    const RetryLimits retries = retryLimits();
    const nlohmann::json settings{
        { "instance", { { "name", name }, { "dataCentre", "dc-" + std::to_string(index % DataCentres) } } },
        { "listen",
            { { "callers", local(this->port(Part::Callers, index)) },
                { "operators", local(this->port(Part::Operators, index)) },
                { "peers", local(this->port(Part::Peers, index)) } } },
        { "store", { { "address", local(this->port(Part::StoreProxy, index)) } } },
        { "seeds", seeds },
        { "stop", { { "bound", this->options.hasLongRequests ? "4s" : "10s" }, { "readinessLead", "300ms" } } },
        { "retries",
            { { "share", retries.share }, { "slack", static_cast<int>(retries.slack) },
                { "window", std::to_string(static_cast<int>(retries.window.count)) + "ms" } } },
        { "log", { { "format", "json" } } },
    };
    nlohmann::json all = settings;
    if (this->options.hasRelays)
        all["listen"]["relay"] = local(this->port(Part::Relay, index));
    if (this->options.memoryMegabytes)
        all["machine"]["memoryMegabytes"] = this->options.memoryMegabytes;
    std::ofstream(this->pathOf(name + ".json")) << all.dump(1) << '\n';
}

void SoakFleet::setPathsCut(std::size_t index, bool areCut) const
{
    std::ofstream file(this->cutPath(index));
    for (std::size_t server = 0; areCut && server < this->options.servers; ++server)
        file << this->port(Part::ServerProxy, server) << '\n';
}

std::uint64_t SoakFleet::relayedAttempts() const
{
    std::uint64_t sum = 0;
    for (std::size_t index = 0; index < this->instances.size(); ++index) {
        httplib::Client client("127.0.0.1", this->port(Part::Operators, index));
        const auto answer = client.Get("/metrics");
        static const std::string name = "\nburlreach_decisions{reason=\"attempts_relayed\"} ";
        const std::size_t place = answer ? answer->body.find(name) : std::string::npos;
        if (place != std::string::npos)
            sum += std::strtoull(answer->body.c_str() + place + name.size(), nullptr, 10);
    }
    return sum;
}

bool SoakFleet::control(std::size_t instance, std::vector<std::string> words, const std::string& log) const
{
    std::vector<std::string> command{ this->options.build + "/burlreach", "ctl", "--address",
        local(this->port(Part::Operators, instance)) };
    command.insert(command.end(), words.begin(), words.end());
    const auto call = this->program(log, std::move(command));
    call->start();
    call->expectEnd();
    call->wait();
    return !call->hasFailed();
}

bool SoakFleet::configure() const
{
    const std::string log = "changes";
    const bool isCreated = waitFor(StartPatience, [&] {
        return this->control(0, { "create-service", "--service", "bookings", "--host", "bookings.example" }, log);
    });
    for (std::size_t server = 0; isCreated && server < this->options.servers; ++server) {
        if (!this->nameServer("bookings", "offers-" + std::to_string(server), this->port(Part::ServerProxy, server)))
            return false;
    }
    if (!isCreated || !this->crashingLoad)
        return isCreated;
    constexpr std::size_t crashingServers = 4;
    bool areNamed
        = this->control(0, { "create-service", "--service", CrashingLoad::Service, "--host", CrashingLoad::Host }, log);
    for (std::size_t server = 0; areNamed && server < crashingServers; ++server)
        areNamed = this->nameServer(
            CrashingLoad::Service, "rosters-" + std::to_string(server), this->port(Part::CrashingServer, server));
    return areNamed;
}

std::vector<std::string> SoakFleet::namingWords(
    const std::string& service, const std::string& name, std::uint16_t serverPort)
{
    const std::string dataCentre = "dc-" + std::to_string(serverPort % DataCentres);
    return { "name-backend-server", "--service", service, "--name", name, "--ip", "127.0.0.1", "--port",
        std::to_string(serverPort), "--data-centre", dataCentre, "--slots", "3" };
}

bool SoakFleet::nameServer(const std::string& service, const std::string& name, std::uint16_t serverPort) const
{
    return this->control(0, namingWords(service, name, serverPort), "changes");
}

std::unique_ptr<ChildProcess> SoakFleet::startNamingLife(std::size_t server, std::uint64_t life, unsigned tries) const
{
    std::vector<std::string> command{ this->options.build + "/burlreach", "ctl", "--address",
        local(this->port(Part::Operators, tries % this->instances.size())) };
    const auto words
        = namingWords("bookings", "offers-" + std::to_string(server), this->port(Part::ServerProxy, server));
    command.insert(command.end(), words.begin(), words.end());
    command.insert(command.end(), { "--life", std::to_string(life) });
    auto call = this->program("changes", std::move(command));
    call->start();
    call->expectEnd();
    return call;
}

void SoakFleet::resumeSuspended(std::size_t index)
{
    constexpr int span = 5000;
    Instance& instance = this->instances[index];
    instance.suspendedMilliseconds += span;
    std::ofstream(this->clockPath(index)) << instance.suspendedMilliseconds << '\n';
    instance.process->signal(SIGCONT);
    if (this->crashingLoad)
        this->crashingLoad->suspensionEnded(index);
}

bool SoakFleet::start()
{
    if (this->crashingLoad)
        this->crashingLoad->startServers();
    this->store->start();
    for (Server& server : this->backendServers)
        server.process->start();
    for (Instance& instance : this->instances)
        instance.process->start();
    return this->configure() && this->settles(StartPatience);
}

bool SoakFleet::isReady(std::size_t instance) const
{
    httplib::Client client("127.0.0.1", this->port(Part::Operators, instance));
    client.set_read_timeout(CallSeconds);
    const auto answer = client.Get("/ready");
    return answer && answer->status == StatusOk;
}

std::uint64_t SoakFleet::latestAccepted() const
{
    return largestBehind(this->pathOf("changes.log"), "CHANGE_ACCEPTED, revision ");
}

std::uint64_t SoakFleet::revisionOf(std::size_t instance) const
{
    const std::string name = "shown-" + std::to_string(instance);
    this->control(instance, { "list-services" }, name);
    return largestBehind(this->pathOf(name + ".log"), "revision: ");
}

void SoakFleet::stopInstance(std::size_t index)
{
    const auto isThere = [](const Instance& item) { return !item.isStopping && item.process->isRunning(); };
    if (std::count_if(this->instances.begin(), this->instances.end(), isThere) < 2)
        return;
    Instance& instance = this->instances[index];
    instance.isStopping = true;
    instance.process->expectEnd();
    instance.process->signal(SIGTERM);
}

void SoakFleet::tend()
{
    if (this->crashingLoad)
        this->crashingLoad->tend();
    this->newLives.tend();
    for (Instance& instance : this->instances) {
        this->mostMemory = std::max(this->mostMemory, instance.process->peakMemory());
        if (!instance.isStopping || instance.process->isRunning())
            continue;
        instance.isStopping = false;
        instance.process->start();
    }
}

bool SoakFleet::settles(Milliseconds patience)
{
    if (this->change)
        this->change->wait();
    return waitFor(patience, [this] {
        this->tend();
        if (!this->newLives.areAllKnown())
            return false;
        for (std::size_t index = 0; index < this->instances.size(); ++index) {
            if (!this->isReady(index) || this->revisionOf(index) < this->latestAccepted())
                return false;
        }
        return true;
    });
}

void SoakFleet::tellStandIn(std::uint16_t port, const std::string& what)
{
    httplib::Client client("127.0.0.1", port);
    client.set_connection_timeout(CallSeconds);
    client.set_read_timeout(CallSeconds);
    client.Put("/control/" + what, "", "text/plain");
}

void SoakFleet::setFault(std::uint16_t port, const std::string& name)
{
    tellStandIn(port, "fault/" + name);
}

void SoakFleet::changeConfiguration(std::size_t instance)
{
    if (this->change && this->change->isRunning())
        return;
    static constexpr std::size_t percents = 20;
    const std::string percent = std::to_string(10 + instance % percents);
    this->change = this->program("changes",
        { this->options.build + "/burlreach", "ctl", "--address", local(this->port(Part::Operators, instance)),
            "set-limits", "--service", "bookings", "--retry-percent", percent });
    this->change->start();
    this->change->expectEnd();
}

void SoakFleet::begin(const SoakStep& step)
{
    const std::size_t index = step.target % this->instances.size();
    Instance& instance = this->instances[index];
    const std::size_t serverIndex = step.target % this->backendServers.size();
    Server& server = this->backendServers[serverIndex];
    const std::uint16_t serverPort = this->port(Part::Server, serverIndex);
    const std::uint16_t storePort = this->port(Part::Store);
    switch (step.fault) {
    case SoakFault::KillInstance:
        return instance.process->kill();
    case SoakFault::StopInstance:
        return this->stopInstance(index);
    case SoakFault::PauseInstance:
    case SoakFault::SuspendInstance:
        return instance.process->signal(SIGSTOP);
    case SoakFault::ReloadInstance:
        return instance.process->signal(SIGHUP);
    case SoakFault::ResetCallers:
        return instance.callers->reset();
    case SoakFault::CutStore:
        return instance.store->setFault(ProxyFault::Silent);
    case SoakFault::CutStoreOneWay:
        return instance.store->setFault(ProxyFault::SilentBack);
    case SoakFault::RefuseStore:
        return instance.store->setFault(ProxyFault::Refuse);
    case SoakFault::StoreDown:
        return setFault(storePort, "down");
    case SoakFault::StoreSlow:
        return setFault(storePort, "slow");
    case SoakFault::StoreLosesAnswers:
        return setFault(storePort, "lose-answers");
    case SoakFault::StoreForgets:
        return setFault(storePort, "forget-history");
    case SoakFault::KillServer:
        return server.process->kill();
    case SoakFault::PauseServer:
        return server.process->signal(SIGSTOP);
    case SoakFault::ServerSheds:
        return setFault(serverPort, "shed");
    case SoakFault::ServerCutsAnswers:
        return setFault(serverPort, "cut");
    case SoakFault::LeavingServer:
        return setFault(serverPort, "leaving");
    case SoakFault::ServerAsksPause:
        return setFault(serverPort, "ask-pause");
    case SoakFault::ServerNamesLimit:
        return setFault(serverPort, "name-limit");
    case SoakFault::SilenceServer:
        return server.proxy->setFault(ProxyFault::Silent);
    case SoakFault::SilenceServerBack:
        return server.proxy->setFault(ProxyFault::SilentBack);
    case SoakFault::DelayServer:
        return server.proxy->setFault(ProxyFault::Delay);
    case SoakFault::ResetServer:
        return server.proxy->reset();
    case SoakFault::ChangeConfiguration:
        return this->changeConfiguration(index);
    case SoakFault::ServerSendsInterim:
        return server.proxy->setFault(ProxyFault::Interim);
    case SoakFault::ServerRepeatsAnswers:
        return server.proxy->setFault(ProxyFault::Repeat);
    case SoakFault::ServerSendsEndlessly:
        return server.proxy->setFault(ProxyFault::Endless);
    case SoakFault::UnrulyCallers:
        instance.crowd = std::make_unique<UnrulyCallers>(this->port(Part::Callers, index), this->crowds++);
        return;
    case SoakFault::CutPaths:
        this->setPathsCut(index, true);
        // Kept connections would live on. Those of the other instances are reset as well.
        for (const Server& item : this->backendServers)
            item.proxy->reset();
        return;
    case SoakFault::ServerEndsAnswers:
        return server.proxy->setFault(ProxyFault::Unframed);
    case SoakFault::ServerEndsShort:
        return server.proxy->setFault(ProxyFault::EndsShort);
    case SoakFault::Count:
        return;
    }
}

void SoakFleet::end(const SoakStep& step)
{
    Instance& instance = this->instances[step.target % this->instances.size()];
    const std::size_t serverIndex = step.target % this->backendServers.size();
    Server& server = this->backendServers[serverIndex];
    switch (step.fault) {
    case SoakFault::KillInstance:
        if (!instance.process->isRunning())
            instance.process->start();
        return;
    case SoakFault::PauseInstance:
        return instance.process->signal(SIGCONT);
    case SoakFault::SuspendInstance:
        return this->resumeSuspended(step.target % this->instances.size());
    case SoakFault::CutStore:
    case SoakFault::CutStoreOneWay:
    case SoakFault::RefuseStore:
        return instance.store->setFault(ProxyFault::None);
    case SoakFault::StoreDown:
    case SoakFault::StoreSlow:
    case SoakFault::StoreLosesAnswers:
        return setFault(this->port(Part::Store), "none");
    case SoakFault::KillServer:
        if (!server.process->isRunning())
            server.process->start();
        return;
    case SoakFault::PauseServer:
        return server.process->signal(SIGCONT);
    case SoakFault::LeavingServer:
        setFault(this->port(Part::Server, serverIndex), "none");
        tellStandIn(this->port(Part::Server, serverIndex), "new-life");
        return this->newLives.began(serverIndex);
    case SoakFault::ServerSheds:
    case SoakFault::ServerCutsAnswers:
    case SoakFault::ServerAsksPause:
    case SoakFault::ServerNamesLimit:
        return setFault(this->port(Part::Server, serverIndex), "none");
    case SoakFault::SilenceServer:
    case SoakFault::SilenceServerBack:
    case SoakFault::DelayServer:
    case SoakFault::ServerSendsInterim:
    case SoakFault::ServerRepeatsAnswers:
    case SoakFault::ServerSendsEndlessly:
    case SoakFault::ServerEndsAnswers:
    case SoakFault::ServerEndsShort:
        return server.proxy->setFault(ProxyFault::None);
    case SoakFault::UnrulyCallers:
        return instance.crowd.reset();
    case SoakFault::CutPaths:
        return this->setPathsCut(step.target % this->instances.size(), false);
    case SoakFault::StopInstance: // tend() restarts the instance
    case SoakFault::ReloadInstance:
    case SoakFault::ResetCallers:
    case SoakFault::StoreForgets:
    case SoakFault::ResetServer:
    case SoakFault::ChangeConfiguration:
    case SoakFault::Count:
        return;
    }
}

void SoakFleet::heal()
{
    setFault(this->port(Part::Store), "none");
    for (std::size_t index = 0; index < this->backendServers.size(); ++index) {
        Server& server = this->backendServers[index];
        server.process->signal(SIGCONT);
        server.proxy->setFault(ProxyFault::None);
        if (!server.process->isRunning())
            server.process->start();
        setFault(this->port(Part::Server, index), "none");
    }
    for (std::size_t index = 0; this->options.hasRelays && index < this->instances.size(); ++index)
        this->setPathsCut(index, false);
    for (Instance& instance : this->instances) {
        instance.process->signal(SIGCONT);
        instance.crowd.reset();
        instance.store->setFault(ProxyFault::None);
        if (!instance.process->isRunning())
            instance.process->start();
    }
}

std::unique_ptr<ChildProcess> SoakFleet::startCallers(const std::string& name, int seconds, std::uint64_t seed) const
{
    std::vector<std::string> command{ this->options.build + "/StandIns/CallerStandIn", "--prefix",
        name + "-" + std::to_string(seed), "--sessions", "8", "--pipelined-sessions",
        this->options.hasLongRequests ? "0" : "3", "--seconds", std::to_string(seconds), "--booking-percent", "50",
        "--pause-milliseconds", "4", "--output", this->pathOf(name + ".json") };
    for (std::size_t index = 0; index < this->instances.size(); ++index) {
        command.emplace_back("--port");
        command.push_back(std::to_string(this->port(Part::CallersProxy, index)));
    }
    if (this->options.hasLongRequests) {
        // A request of 2.2 s that is sent more than 1.4 s into a stop of 3.8 s outlasts it.
        command.insert(
            command.end(), { "--long-percent", "3", "--long-milliseconds", "2200", "--deadline-milliseconds", "2500" });
    }
    auto callers = this->program(name, std::move(command));
    callers->start();
    callers->expectEnd();
    return callers;
}

std::unique_ptr<ChildProcess> SoakFleet::startNeighbours(int seconds) const
{
    std::vector<std::string> command{ this->options.build + "/StandIns/CallerStandIn", "--prefix", "neighbour",
        "--host", CrashingLoad::Host, "--sessions", "3", "--seconds", std::to_string(seconds), "--booking-percent", "0",
        "--pause-milliseconds", "20", "--output", this->pathOf("neighbours.json") };
    for (std::size_t index = 0; index < this->instances.size(); ++index) {
        command.emplace_back("--port");
        command.push_back(std::to_string(this->port(Part::CallersProxy, index)));
    }
    auto callers = this->program("neighbours", std::move(command));
    callers->start();
    callers->expectEnd();
    return callers;
}

std::vector<std::string> SoakFleet::failures()
{
    std::vector<std::string> found;
    if (this->store->hasFailed())
        found.emplace_back("store");
    for (std::size_t index = 0; index < this->instances.size(); ++index) {
        if (this->instances[index].process->hasFailed())
            found.push_back("entry-" + std::to_string(index));
    }
    for (std::size_t index = 0; index < this->backendServers.size(); ++index) {
        if (this->backendServers[index].process->hasFailed())
            found.push_back("offers-" + std::to_string(index));
    }
    return found;
}

}
