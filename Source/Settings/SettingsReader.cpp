#include "Settings/SettingsReader.h"

#include "Settings/DuplicateKeys.h"
#include "Settings/SettingsSection.h"

#include <array>
#include <fstream>
#include <iterator>

namespace burlreach {

namespace {

constexpr NumberRange MemoryRange{ .lowest = 32, .highest = 1048576 };
constexpr NumberRange DescriptorRange{ .lowest = 64, .highest = 10000000 };
constexpr NumberRange SessionRange{ .lowest = 1, .highest = 100000 };
constexpr NumberRange HeaderRange{ .lowest = 1024, .highest = 1048576 };
constexpr NumberRange BodyRange{ .lowest = 1024, .highest = 67108864 };
constexpr NumberRange IdleRange{ .lowest = 1000, .highest = 86400000 };
constexpr NumberRange StopRange{ .lowest = 100, .highest = 3600000 };
constexpr NumberRange LeadRange{ .lowest = 0, .highest = 60000 };
constexpr NumberRange SlackRange{ .lowest = 0, .highest = 1000000 };
constexpr NumberRange WindowRange{ .lowest = 1000, .highest = 600000 };
constexpr NumberRange ProbeRange{ .lowest = 0, .highest = 10000 };
constexpr double HighestRetryShare = 1;
constexpr double HighestQuotaOverage = 1;
constexpr double HighestProcessorShare = 1024;

constexpr std::array<std::string_view, 2> LogFormats{ "text", "json" };
constexpr std::array<std::string_view, 4> LogLevels{ "debug", "info", "warning", "error" };

void readInstance(SettingsSection section, Settings& settings)
{
    section.requiredText("name", settings.instanceName);
    section.requiredText("dataCentre", settings.dataCentre);
    section.optionalShare("processorShare", HighestProcessorShare, settings.processorShare);
    section.finish();
}

void readMachine(SettingsSection section, Settings& settings)
{
    section.optionalSize("memoryMegabytes", MemoryRange, settings.memoryMegabytes);
    section.optionalSize("descriptors", DescriptorRange, settings.descriptors);
    section.finish();
}

void readListen(SettingsSection section, Settings& settings)
{
    section.requiredAddress("callers", settings.callersAddress);
    section.requiredAddress("operators", settings.operatorsAddress);
    section.requiredAddress("peers", settings.peersAddress);
    section.optionalAddress("relay", settings.relayAddress);
    section.optionalAddress("readiness", settings.readinessAddress);
    section.optionalText("readinessPath", settings.readinessPath);
    section.finish();
}

void readStore(SettingsSection section, Settings& settings)
{
    section.requiredAddress("address", settings.storeAddress);
    section.finish();
}

void readRetries(SettingsSection section, Settings& settings)
{
    section.optionalShare("share", HighestRetryShare, settings.retryShare);
    section.optionalSize("slack", SlackRange, settings.retrySlack);
    section.optionalMilliseconds("window", WindowRange, settings.retryWindow);
    section.finish();
}

void readQuotas(SettingsSection section, Settings& settings)
{
    section.optionalMilliseconds("window", WindowRange, settings.quotaWindow);
    section.optionalShare("overage", HighestQuotaOverage, settings.quotaOverage);
    section.optionalSize("slack", SlackRange, settings.quotaSlack);
    section.finish();
}

void readSessions(SettingsSection section, Settings& settings)
{
    section.optionalSize("maximum", SessionRange, settings.maximumSessions);
    section.optionalSize("maximumHeaderBytes", HeaderRange, settings.maximumHeaderBytes);
    section.optionalSize("maximumBodyBytes", BodyRange, settings.maximumBodyBytes);
    section.optionalMilliseconds("idle", IdleRange, settings.idleSession);
    section.finish();
}

void readStop(SettingsSection section, Settings& settings)
{
    section.optionalMilliseconds("bound", StopRange, settings.stopBound);
    section.optionalMilliseconds("readinessLead", LeadRange, settings.stopReadinessLead);
    section.finish();
}

void readProbes(SettingsSection section, Settings& settings)
{
    section.optionalSize("perSecond", ProbeRange, settings.probesPerSecond);
    section.finish();
}

void readLog(SettingsSection section, Settings& settings)
{
    const auto format = section.optionalChoice("format", LogFormats, static_cast<std::size_t>(settings.logFormat));
    settings.logFormat = static_cast<LogFormat>(format);
    const auto level = section.optionalChoice("level", LogLevels, static_cast<std::size_t>(settings.logLevel));
    settings.logLevel = static_cast<LogLevel>(level);
    section.finish();
}

void checkContradictions(const Settings& settings, Findings& findings)
{
    if (!findings.empty())
        return;
    if (settings.stopReadinessLead >= settings.stopBound)
        findings.add("/stop/readinessLead",
            "is not below bound; requests in flight would get no time; write a smaller lead or a larger "
            "bound");
    if (settings.callersAddress == settings.operatorsAddress || settings.callersAddress == settings.peersAddress
        || settings.operatorsAddress == settings.peersAddress)
        findings.add("/listen", "uses one address twice; give callers, operators and peers different addresses");
    if (settings.relayAddress.port && settings.relayAddress.host != settings.peersAddress.host)
        findings.add("/listen/relay",
            "has another host than /listen/peers, from which other instances take it; use the same host");
}

}

SettingsResult SettingsReader::read(std::string_view text) const
{
    SettingsResult result;
    const nlohmann::json document = parseWithoutDuplicates(text, result.findings);
    if (document.is_discarded()) {
        result.findings.add("/", "is not JSON; check commas, quotes and braces");
        return result;
    }
    SettingsSection root(document, "", result.findings);
    readInstance(root.section("instance"), result.settings);
    readMachine(root.section("machine"), result.settings);
    readListen(root.section("listen"), result.settings);
    root.optionalText("dialect", result.settings.dialect);
    readStore(root.section("store"), result.settings);
    root.optionalAddresses("seeds", result.settings.seeds);
    readSessions(root.section("sessions"), result.settings);
    readStop(root.section("stop"), result.settings);
    readRetries(root.section("retries"), result.settings);
    readQuotas(root.section("quotas"), result.settings);
    readProbes(root.section("probes"), result.settings);
    readLog(root.section("log"), result.settings);
    root.finish();
    checkContradictions(result.settings, result.findings);
    return result;
}

SettingsResult SettingsReader::readFile(const std::string& path) const
{
    std::ifstream file(path);
    if (!file) {
        SettingsResult result;
        result.findings.add(path, "cannot be read; name a settings file that exists and may be read");
        return result;
    }
    const std::string text{ std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    return this->read(text);
}

}
