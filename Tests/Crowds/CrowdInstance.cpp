#include "Tests/Crowds/CrowdInstance.h"

#include <algorithm>
#include <array>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <sys/resource.h>
#include <tuple>
#include <unistd.h>
#include <utility>

namespace burlreach {

namespace {

constexpr int StatusOk = 200;

constexpr std::size_t AddressCount = 5;

/** A loopback address that no other instance of this test or of one beside it has. */
std::string nextHost()
{
    static unsigned count = 0;
    constexpr unsigned firstNetwork = 64; // leaves out those that are in use by hand, such as 127.0.0.1
    constexpr unsigned networks = 128;
    constexpr unsigned byte = 256;
    const auto process = static_cast<unsigned>(getpid());
    return "127." + std::to_string(firstNetwork + process / byte % networks) + "." + std::to_string(process % byte)
        + "." + std::to_string(++count % (byte - 2) + 1);
}

/**
 * Addresses with ports that nobody uses, all of one host. On 127.0.0.1 a port could become that of a connection before
 * the instance listens there.
 */
std::array<NetworkAddress, AddressCount> freeAddresses()
{
    asio::io_context context;
    const std::string host = nextHost();
    std::array<NetworkAddress, AddressCount> addresses;
    std::vector<asio::ip::tcp::acceptor> probes; // kept until all are drawn
    for (NetworkAddress& address : addresses) {
        probes.emplace_back(context, asio::ip::tcp::endpoint(asio::ip::make_address(host), 0));
        address = { .host = host, .port = probes.back().local_endpoint().port() };
    }
    return addresses;
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
{
    std::tie(
        this->callersAddress, this->operatorsAddress, this->peersAddress, this->readinessAddress, this->relayAddress)
        = std::tuple_cat(freeAddresses());
    const std::string path = this->options.folder + "/" + this->options.name;
    std::vector<std::string> command{ this->options.program, "serve", "--settings", path + ".json" };
    if (!this->options.cutPorts.empty())
        command.insert(command.begin(), { "/usr/bin/env", "CUT_PORTS=" + this->options.cutPorts });
    this->process = std::make_unique<ChildProcess>(
        ChildProcess::Options{ .command = std::move(command), .logPath = path + ".log" });
}

void CrowdInstance::writeSettings() const
{
    nlohmann::json seeds = nlohmann::json::array();
    for (const NetworkAddress& seed : this->options.seeds)
        seeds.push_back(seed.text());
    nlohmann::json settings{
        { "dialect", "platform" },
        { "instance", { { "name", this->options.name }, { "dataCentre", "dc-1" } } },
        { "listen",
            { { "callers", this->callersAddress.text() }, { "operators", this->operatorsAddress.text() },
                { "peers", this->peersAddress.text() }, { "readiness", this->readinessAddress.text() },
                { "relay", this->relayAddress.text() } } },
        { "store", { { "address", this->options.store.text() } } },
        { "seeds", seeds },
        { "retries", { { "share", 0.2 }, { "slack", this->options.retrySlack } } },
        { "log", { { "format", "json" } } },
    };
    if (this->options.sessions)
        settings["sessions"]["maximum"] = this->options.sessions;
    if (this->options.stopBound.count())
        settings["stop"] = { { "bound", std::to_string(this->options.stopBound.count()) + "ms" },
            { "readinessLead", std::to_string(this->options.stopLead.count()) + "ms" } };
    std::ofstream(this->options.folder + "/" + this->options.name + ".json") << settings.dump(1) << '\n';
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

double CrowdInstance::metric(const std::string& metricName) const
{
    httplib::Client client(this->operatorsAddress.host, this->operatorsAddress.port);
    const auto answer = client.Get("/metrics");
    const std::string start = "\n" + metricName + " ";
    const std::size_t place = answer ? answer->body.find(start) : std::string::npos;
    return place == std::string::npos ? 0 : std::strtod(answer->body.c_str() + place + start.size(), nullptr);
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
