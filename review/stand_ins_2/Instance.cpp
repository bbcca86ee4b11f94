#include "Instance.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iterator>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

/** The number by which /proc names the socket that is bound to the address; empty if there is none. */
std::string socketAt(const Address& address)
{
    std::ifstream table("/proc/net/tcp");
    std::ostringstream port;
    port << std::hex << std::uppercase << std::setw(4) << std::setfill('0') << address.port;
    std::string line;
    while (std::getline(table, line)) {
        std::istringstream words(line);
        std::vector<std::string> columns{ std::istream_iterator<std::string>(words), {} };
        constexpr std::size_t localAddress = 1;
        constexpr std::size_t inode = 9;
        if (columns.size() > inode && columns[localAddress].ends_with(":" + port.str()) && columns[inode] != "0")
            return "socket:[" + columns[inode] + "]";
    }
    return {};
}

constexpr const char* Program = "target/burlreach";
constexpr int FileMode = 0644;

Address atFreePort(const std::string& host)
{
    return { .host = host, .port = freePort(host) };
}

}

Instance::Instance(const std::string& givenName, const std::string& host, const std::string& givenZone)
    : instanceName(givenName)
    , zone(givenZone)
    , callersAddress(atFreePort(host))
    , operatorsAddress(atFreePort(host))
    , peersAddress(atFreePort(host))
    , relayAddress(atFreePort(host))
    , readinessAddress(atFreePort(host))
{
}

Instance::~Instance()
{
    this->kill();
}

std::string Instance::settings(const Address& store, const std::vector<Address>& seeds) const
{
    std::string list;
    for (const Address& seed : seeds)
        list += (list.empty() ? "\"" : ",\"") + seed.text() + "\"";
    return R"({ "dialect": "platform",
    "instance": { "name": ")"
        + this->instanceName + R"(", "dataCentre": ")" + this->zone + R"(", "processorShare": 0.2 },
    "listen": { "callers": ")"
        + this->callersAddress.text() + R"(", "operators": ")" + this->operatorsAddress.text() + R"(", "peers": ")"
        + this->peersAddress.text() + R"(", "relay": ")" + this->relayAddress.text() + R"(", "readiness": ")"
        + this->readinessAddress.text() + R"(", "readinessPath": "/readiness" },
    "store": { "address": ")"
        + store.text() + R"(" },
    "seeds": [ )"
        + list + R"( ],
    "stop": { "bound": "6s", "readinessLead": "2500ms" },
    "retries": { "share": 0.2, "slack": 64, "window": "10s" },
    "probes": { "perSecond": 60 },
    "log": { "format": "json" } }
)";
}

void Instance::start(const std::string& folder, const Address& store, const std::vector<Address>& seeds)
{
    const std::string path = folder + "/" + this->instanceName;
    const std::string file = path + ".json";
    std::ofstream(file) << this->settings(store, seeds);
    const std::string logFile = path + ".log";
    this->process = fork();
    if (this->process != 0)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL); // the process ends with the case
    const int log = open(logFile.c_str(), O_CREAT | O_WRONLY | O_APPEND, FileMode);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execl(Program, Program, "serve", "--settings", file.c_str(), nullptr);
    _exit(127);
}

bool Instance::waitUntilReady(std::chrono::milliseconds longest) const
{
    constexpr std::chrono::milliseconds pause(50);
    const auto end = std::chrono::steady_clock::now() + longest;
    while (std::chrono::steady_clock::now() < end) {
        const int connection = connectTo(this->readinessAddress);
        if (connection >= 0) {
            sendAll(connection, "GET /readiness HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n");
            MessageReader reader(connection);
            const auto answer = reader.next();
            close(connection);
            constexpr int ok = 200;
            if (answer && answer->status() == ok)
                return true;
        }
        std::this_thread::sleep_for(pause);
    }
    return false;
}

void Instance::signal(int number) const
{
    if (this->process > 0)
        ::kill(this->process, number);
}

void Instance::kill()
{
    if (this->process <= 0)
        return;
    this->signal(SIGKILL);
    waitpid(this->process, nullptr, 0);
    this->process = 0;
}

double Instance::memory() const
{
    if (this->process <= 0)
        return 0;
    std::ifstream file("/proc/" + std::to_string(this->process) + "/statm");
    double all = 0;
    double resident = 0;
    file >> all >> resident;
    constexpr double megabyte = 1048576;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / megabyte;
}

bool Instance::hasOpened(const Address& from) const
{
    const std::string socket = socketAt(from);
    if (this->process <= 0 || socket.empty())
        return false;
    std::error_code error;
    const std::string folder = "/proc/" + std::to_string(this->process) + "/fd";
    for (const auto& file : std::filesystem::directory_iterator(folder, error)) {
        std::error_code ignored;
        if (std::filesystem::read_symlink(file.path(), ignored).string() == socket)
            return true;
    }
    return false;
}

}
