#include "Tests/Crowds/CrowdInstance.h"

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <sys/resource.h>
#include <unistd.h>
#include <utility>

namespace burlreach {

namespace {

constexpr const char* Loopback = "127.0.0.1";
constexpr int StatusOk = 200;

NetworkAddress freeAddress()
{
    asio::io_context context;
    const asio::ip::tcp::acceptor probe(context, { asio::ip::address_v4::loopback(), 0 });
    return { .host = Loopback, .port = probe.local_endpoint().port() };
}

/** The port of an "ADDRESS:PORT" of /proc/net/tcp, in hexadecimal digits. */
std::uint16_t portOf(const std::string& text)
{
    constexpr int hexadecimal = 16;
    return static_cast<std::uint16_t>(std::stoul(text.substr(text.find(':') + 1), nullptr, hexadecimal));
}

/** Bytes that have arrived on established connections from one of these ports, or to this one, and are not read. */
std::size_t unreadBytes(const std::vector<std::uint16_t>& own, std::uint16_t server)
{
    constexpr const char* listening = "0A";
    constexpr int hexadecimal = 16;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    std::size_t sum = 0;
    while (std::getline(table, line)) {
        std::istringstream words(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        words >> number >> local >> remote >> state >> queues;
        const bool isOwn = std::find(own.begin(), own.end(), portOf(local)) != own.end();
        if (state == listening || (!isOwn && portOf(remote) != server))
            continue;
        sum += std::stoul(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
    }
    return sum;
}

/** Lets processes that are started meanwhile open so many descriptors. */
class DescriptorLimit {
public:
    explicit DescriptorLimit(std::size_t most)
    {
        getrlimit(RLIMIT_NOFILE, &this->before);
        rlimit lowered = this->before;
        lowered.rlim_cur = most ? most : lowered.rlim_cur;
        setrlimit(RLIMIT_NOFILE, &lowered);
    }
    ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &this->before); }
    DescriptorLimit(const DescriptorLimit&) = delete;
    DescriptorLimit& operator=(const DescriptorLimit&) = delete;

private:
    rlimit before{};
};

}

CrowdInstance::CrowdInstance(const Options& givenOptions)
    : options(givenOptions)
    , callersAddress(freeAddress())
    , operatorsAddress(freeAddress())
    , peersAddress(freeAddress())
    , readinessAddress(freeAddress())
    , relayAddress(freeAddress())
    , process(std::make_unique<ChildProcess>(ChildProcess::Options{
          .command = { givenOptions.program, "serve", "--settings", givenOptions.folder + "/entry.json" },
          .logPath = givenOptions.folder + "/entry.log" }))
{
}

void CrowdInstance::writeSettings() const
{
    nlohmann::json settings{
        { "dialect", "platform" },
        { "instance", { { "name", "entry" }, { "dataCentre", "dc-1" } } },
        { "listen",
            { { "callers", this->callersAddress.text() }, { "operators", this->operatorsAddress.text() },
                { "peers", this->peersAddress.text() }, { "readiness", this->readinessAddress.text() },
                { "relay", this->relayAddress.text() } } },
        { "store", { { "address", this->options.store.text() } } },
        { "retries", { { "share", 0.2 }, { "slack", 64 } } },
        { "log", { { "format", "json" } } },
    };
    if (this->options.sessions)
        settings["sessions"]["maximum"] = this->options.sessions;
    std::ofstream(this->options.folder + "/entry.json") << settings.dump(1) << '\n';
}

void CrowdInstance::start()
{
    this->writeSettings();
    const DescriptorLimit limit(this->options.descriptors);
    this->process->start();
}

bool CrowdInstance::isReady() const
{
    httplib::Client client(this->readinessAddress.host, this->readinessAddress.port);
    const auto answer = client.Get("/ready");
    return answer && answer->status == StatusOk;
}

ProcessLoad CrowdInstance::load(const NetworkAddress& server) const
{
    const std::string folder = "/proc/" + std::to_string(this->process->number());
    ProcessLoad load;
    std::size_t allPages = 0;
    std::size_t residentPages = 0;
    std::ifstream(folder + "/statm") >> allPages >> residentPages;
    load.memoryBytes = residentPages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE))
        + unreadBytes({ this->callersAddress.port, this->operatorsAddress.port, this->peersAddress.port,
                          this->readinessAddress.port, this->relayAddress.port },
            server.port);
    std::error_code error;
    for (std::filesystem::directory_iterator entry(folder + "/fd", error), end; !error && entry != end;
         entry.increment(error))
        ++load.descriptors;
    return load;
}

}
