// Writes odd entries beside the sound ones into the store that instances watch, in processes of their own.
//
// Guards against one entry that ends all instances at once, again and again, or that lets them stop following the
// store: very deeply nested values, numbers that are too large, ports out of range.

#include "Tests/Crowds/Crowd.h"
#include "Tests/Crowds/CrowdCase.h"
#include "Tests/Crowds/CrowdInstance.h"
#include "Tests/Crowds/PlatformStoreStandIn.h"
#include "Tests/Crowds/SinkServer.h"
#include "Tests/Crowds/WaitFor.h"
#include "Tests/Entries/OddEntry.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <filesystem>
#include <iostream>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

using namespace burlreach;

namespace {

constexpr std::chrono::milliseconds Patience{ 20000 };
/** More than those that watch the store themselves. */
constexpr std::size_t Instances = 5;
constexpr std::size_t Flips = 40;
constexpr unsigned Ok = 200;
constexpr const char* ServerKey = "servers/i-sink";
constexpr const char* OddKey = "servers/i-odd";

/** A configuration whose only route shows in its path which configuration is in force. */
std::string configuration(std::size_t number)
{
    constexpr std::size_t digits = 8;
    std::string version = std::to_string(number);
    version.insert(0, digits - version.size(), '0');
    return R"({"version":")" + version + R"(","routes":{"r":{"host":"x.example","path_prefix":"/)"
        + std::to_string(number)
        + R"(/","type":"safe","timeout":"3000ms","target_latency":"1500ms","priority":0,"service":"s","max_attempts":2}},)"
        + R"("services":{"s":{"health_check_path":"/health","max_connections":260}}})";
}

class WatchingFleet {
public:
    WatchingFleet(const std::string& program, const std::string& folder)
    {
        std::vector<NetworkAddress> seeds;
        for (std::size_t number = 0; number <= Instances; ++number) {
            this->instances.push_back(std::make_unique<CrowdInstance>(CrowdInstance::Options{ .program = program,
                .folder = folder,
                .store = this->store.address(),
                .name = "entry-" + std::to_string(number),
                .seeds = seeds }));
            if (seeds.size() < 3)
                seeds.push_back(this->instances.back()->peers());
        }
    }

    /** Starts all instances but the last. */
    bool start()
    {
        this->store.put(ServerKey, this->server.entry("s"));
        this->writeConfiguration();
        for (std::size_t number = 0; number < Instances; ++number)
            this->instances[number]->start();
        return this->areFollowing();
    }

    /** Starts the last instance, which reads all that has been written. */
    bool startLast()
    {
        this->running = this->instances.size();
        this->instances.back()->start();
        return this->areFollowing();
    }

    void writeConfiguration() { this->store.put("op/config", configuration(++this->version)); }

    /** True if all instances serve by the newest configuration, soon. */
    bool areFollowing()
    {
        const std::string head = "GET /" + std::to_string(this->version)
            + "/x HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: 2000\r\nRequest-Id: ";
        return std::all_of(this->instances.begin(),
            this->instances.begin() + static_cast<std::ptrdiff_t>(this->running), [&](const auto& instance) {
                return waitFor(Patience, [&] {
                    const std::string id = "r-" + std::to_string(this->requests++);
                    return !instance->isRunning() || callOnce(instance->callers(), head + id + "\r\n\r\n").status == Ok;
                });
            });
    }

    /** True once the instances that watch the store have read all that was written, or one of them has ended. */
    bool haveRead()
    {
        constexpr std::size_t watchers = 3;
        return waitFor(Patience, [this] { return this->store.watchesPastAll() >= watchers || this->countEnded(); });
    }

    std::size_t countEnded()
    {
        return this->running
            - static_cast<std::size_t>(std::count_if(this->instances.begin(),
                this->instances.begin() + static_cast<std::ptrdiff_t>(this->running),
                [](const auto& instance) { return instance->isRunning(); }));
    }

    std::size_t mostMemory() const
    {
        std::size_t most = 0;
        for (const auto& instance : this->instances)
            most = std::max(most, instance->peakMemory());
        return most;
    }

    /** Starts the instances that have ended, so that the next entries are judged too. */
    void restartEnded()
    {
        for (std::size_t number = 0; number < this->running; ++number) {
            if (!this->instances[number]->isRunning())
                this->instances[number]->start();
        }
    }

    SinkServer server{ SinkServer::Options{} };
    PlatformStoreStandIn store;

private:
    std::vector<std::unique_ptr<CrowdInstance>> instances;
    std::size_t running = Instances;
    std::size_t version = 0;
    std::size_t requests = 0;
};

/** Judges the instances after an entry. */
class Judge {
public:
    explicit Judge(WatchingFleet& givenFleet)
        : fleet(&givenFleet)
    {
    }

    void check(const std::string& name, bool isFollowing)
    {
        const std::size_t ended = this->fleet->countEnded();
        const std::size_t memory = this->fleet->mostMemory();
        const bool isSmall = memory <= MaxProcessBytes;
        const bool isGood = isFollowing && !ended && isSmall;
        ++(isGood ? this->passed : this->failed);
        this->most = std::max(this->most, memory);
        if (isGood)
            return;
        std::cout << "failed " << name << ": " << ended << " ended, " << (isFollowing ? "" : "not ")
                  << "all follow, memory " << memory << " of " << MaxProcessBytes << '\n';
        this->fleet->restartEnded();
    }

    int summary() const
    {
        constexpr std::size_t megabyte = 1000000;
        std::cout << "most memory " << this->most / megabyte << " MB\n";
        std::cout << this->passed << " passed, " << this->failed << " failed\n";
        return this->failed || !this->passed ? 1 : 0;
    }

private:
    WatchingFleet* fleet;
    std::size_t most = 0;
    std::size_t passed = 0;
    std::size_t failed = 0;
};

void play(WatchingFleet& fleet, Judge& judge)
{
    const std::string sound = fleet.server.entry("s");
    for (const OddEntry& entry : oddEntries(sound, configuration(1))) {
        for (const auto& [key, value] : entry.items)
            fleet.store.put(key, value);
        const bool haveRead = fleet.haveRead();
        fleet.writeConfiguration();
        judge.check(entry.name, haveRead && fleet.areFollowing());
    }
    for (std::size_t flip = 0; flip < Flips; ++flip) {
        fleet.store.put(OddKey, sound);
        fleet.store.put(OddKey, sound.substr(flip));
        fleet.store.put(ServerKey, "[[[");
        fleet.store.put(ServerKey, sound);
    }
    fleet.writeConfiguration();
    judge.check("entries that are odd and sound by turns", fleet.areFollowing());
    judge.check("a start beside all entries", fleet.startLast());
}

}

int main(int argc, char** argv)
{
    CLI::App app("Writes odd entries into the store that instances watch");
    std::string program;
    app.add_option("--program", program, "Path of burlreach")->required();
    CLI11_PARSE(app, argc, argv);
    const auto folder = std::filesystem::temp_directory_path() / ("entries-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    int code = 1;
    {
        WatchingFleet fleet(program, folder);
        Judge judge(fleet);
        judge.check("the start", fleet.start());
        play(fleet, judge);
        code = judge.summary();
    }
    std::filesystem::remove_all(folder);
    return code;
}
