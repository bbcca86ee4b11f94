#include "Tests/Soak/CrashingLoad.h"

#include <algorithm>
#include <fstream>
#include <httplib.h>
#include <map>
#include <sstream>
#include <utility>

namespace burlreach {

namespace {

constexpr std::chrono::milliseconds SendsEvery{ 120 };
constexpr std::chrono::milliseconds Restart{ 1500 };
constexpr std::int64_t Contact = 3000; // milliseconds within which all instances must receive a gossip update
constexpr std::size_t EndsThatProve = 3;
constexpr std::size_t MostSentLater = 3;
constexpr const char* RefusedForIt = "crashes_backend_servers";

std::int64_t millisecondsOf(std::chrono::system_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

}

CrashingLoad::CrashingLoad(Options givenOptions)
    : options(std::move(givenOptions))
    , servers(this->options.servers)
{
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
        const std::string name = "rosters-" + std::to_string(index);
        const std::string port = std::to_string(this->options.firstServerPort + index);
        this->servers[index].process = std::make_unique<ChildProcess>(ChildProcess::Options{
            .command = { this->options.build + "/StandIns/BackendServerStandIn", "--name", name, "--port", port,
                "--journal", this->journalPath(index), "--service-milliseconds", "20" },
            .logPath = this->options.folder + "/" + name + ".log" });
    }
}

CrashingLoad::~CrashingLoad()
{
    this->stopSending();
}

std::string CrashingLoad::journalPath(std::size_t server) const
{
    return this->options.folder + "/crashes-" + std::to_string(server);
}

void CrashingLoad::startServers()
{
    for (Server& server : this->servers)
        server.process->start();
}

void CrashingLoad::startSending()
{
    this->isSending = true;
    this->sender = std::thread([this] { this->send(); });
}

void CrashingLoad::stopSending()
{
    this->isSending = false;
    if (this->sender.joinable())
        this->sender.join();
}

void CrashingLoad::tend()
{
    const auto now = Clock::now();
    for (Server& server : this->servers) {
        if (server.process->isRunning())
            continue;
        if (server.endedAt == Clock::time_point{})
            server.endedAt = now;
        if (now - server.endedAt < Restart)
            continue;
        server.endedAt = {};
        server.process->start();
    }
}

void CrashingLoad::suspensionEnded(std::size_t instance)
{
    const std::lock_guard lock(this->mutex);
    this->resumed.push_back({ .instance = instance, .at = millisecondsOf(Clock::now()) });
}

void CrashingLoad::send()
{
    for (std::size_t number = 0; this->isSending; ++number) {
        this->sendOnce(number);
        std::this_thread::sleep_for(SendsEvery);
    }
}

void CrashingLoad::sendOnce(std::size_t number)
{
    Sent sent;
    sent.instance = number % this->options.callersPorts.size();
    sent.id = "harmful-" + std::to_string(number);
    sent.at = millisecondsOf(Clock::now());
    httplib::Client client("127.0.0.1", this->options.callersPorts[sent.instance]);
    client.set_connection_timeout(std::chrono::milliseconds(300));
    client.set_read_timeout(std::chrono::milliseconds(700));
    const auto answer
        = client.Get("/crews/7", { { "Host", Host }, { "Burlreach-Request-Id", sent.id }, { "Crash", "1" } });
    if (answer)
        sent.reason = answer->get_header_value("Burlreach-Reason");
    const std::lock_guard lock(this->mutex);
    this->sentRequests.push_back(std::move(sent));
}

std::vector<CrashingLoad::Noted> CrashingLoad::journals() const
{
    std::vector<Noted> lines;
    for (std::size_t server = 0; server < this->servers.size(); ++server) {
        std::ifstream journal(this->journalPath(server));
        for (std::string line; std::getline(journal, line);) {
            std::istringstream words(line);
            Noted noted;
            if (words >> noted.what >> noted.id >> noted.at)
                lines.push_back(std::move(noted));
        }
    }
    std::sort(lines.begin(), lines.end(), [](const Noted& left, const Noted& right) { return left.at < right.at; });
    return lines;
}

std::size_t CrashingLoad::ends() const
{
    const std::vector<Noted> lines = this->journals();
    return static_cast<std::size_t>(
        std::count_if(lines.begin(), lines.end(), [](const Noted& line) { return line.what == "crashed"; }));
}

bool CrashingLoad::isExcused(const Sent& sent) const
{
    return std::any_of(this->resumed.begin(), this->resumed.end(), [&](const Resumed& item) {
        return item.instance == sent.instance && sent.at < item.at + Contact && sent.at > item.at - Contact;
    });
}

std::vector<std::string> CrashingLoad::broken() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::int64_t> crashes;
    std::map<std::string, std::size_t> arrivals;
    for (const Noted& line : this->journals()) {
        if (line.what == "crashed")
            crashes.push_back(line.at);
        else
            ++arrivals[line.id];
    }
    if (crashes.size() < EndsThatProve)
        return { "a request that crashes servers crashed too few servers: " + std::to_string(crashes.size()) };
    const std::int64_t known = crashes[EndsThatProve - 1] + Contact;
    std::size_t later = 0;
    std::size_t refused = 0;
    for (const Sent& sent : this->sentRequests) {
        refused += sent.reason == RefusedForIt ? 1 : 0;
        if (sent.at > known && !this->isExcused(sent))
            later += arrivals.contains(sent.id) ? arrivals.at(sent.id) : 0;
    }
    std::vector<std::string> sentences;
    if (later > MostSentLater)
        sentences.push_back("a request that crashes servers was sent " + std::to_string(later)
            + " times more after all instances should have known of it; " + std::to_string(crashes.size())
            + " servers crashed");
    if (!refused)
        sentences.emplace_back("a request that crashes servers was never refused for it");
    return sentences;
}

}
