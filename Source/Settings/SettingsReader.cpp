#include "Settings/SettingsReader.h"

#include "Settings/SettingsSection.h"

#include <array>
#include <fstream>
#include <iterator>

namespace burlreach {

namespace {

constexpr NumberRange SessionRange{ .lowest = 1, .highest = 20000 };
constexpr NumberRange HeaderRange{ .lowest = 1024, .highest = 8192 };
constexpr NumberRange BodyRange{ .lowest = 1024, .highest = 67108864 };
constexpr NumberRange IdleRange{ .lowest = 1000, .highest = 86400000 };
constexpr NumberRange StopRange{ .lowest = 100, .highest = 3600000 };
constexpr NumberRange LeadRange{ .lowest = 0, .highest = 60000 };
constexpr NumberRange HeartbeatRange{ .lowest = 50, .highest = 5000 };
constexpr NumberRange KeptRange{ .lowest = 10000, .highest = 3600000 };

constexpr std::array<std::string_view, 2> LogFormats{ "text", "json" };
constexpr std::array<std::string_view, 4> LogLevels{ "debug", "info", "warning", "error" };

void readInstance(SettingsSection section, Settings& settings)
{
    section.requiredText("name", settings.instanceName);
    section.requiredText("dataCentre", settings.dataCentre);
    section.finish();
}

void readListen(SettingsSection section, Settings& settings)
{
    section.requiredAddress("callers", settings.callersAddress);
    section.requiredAddress("operators", settings.operatorsAddress);
    section.requiredAddress("peers", settings.peersAddress);
    section.finish();
}

void readPlatform(SettingsSection section, Settings& settings)
{
    section.requiredAddress("address", settings.platformAddress);
    section.optionalText("keyPrefix", settings.platformKeyPrefix);
    section.optionalText("serviceName", settings.platformServiceName);
    section.finish();
}

void readSessions(SettingsSection section, Settings& settings)
{
    section.optionalSize("maximum", SessionRange, settings.maximumSessions);
    section.optionalSize("maximumHeaderBytes", HeaderRange, settings.maximumHeaderBytes);
    section.optionalSize("maximumBodyBytes", BodyRange, settings.maximumBodyBytes);
    section.optionalMilliseconds("idleMilliseconds", IdleRange, settings.idleSession);
    section.finish();
}

void readStop(SettingsSection section, Settings& settings)
{
    section.optionalMilliseconds("boundMilliseconds", StopRange, settings.stopBound);
    section.optionalMilliseconds("readinessLeadMilliseconds", LeadRange, settings.stopReadinessLead);
    section.finish();
}

void readFleet(SettingsSection section, Settings& settings)
{
    section.optionalMilliseconds("heartbeatMilliseconds", HeartbeatRange, settings.heartbeatInterval);
    section.optionalMilliseconds("requestIdsKeptMilliseconds", KeptRange, settings.requestIdsKept);
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
        findings.add("/stop/readinessLeadMilliseconds",
            "is not below boundMilliseconds; requests in flight would get no time; write a smaller lead or a larger "
            "bound");
    if (settings.callersAddress == settings.operatorsAddress || settings.callersAddress == settings.peersAddress
        || settings.operatorsAddress == settings.peersAddress)
        findings.add("/listen", "names one address twice; give callers, operators and peers an address each");
}

}

SettingsResult SettingsReader::read(std::string_view text) const
{
    SettingsResult result;
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_discarded()) {
        result.findings.add("/", "is not JSON; check commas, quotes and braces");
        return result;
    }
    SettingsSection root(document, "", result.findings);
    readInstance(root.section("instance"), result.settings);
    readListen(root.section("listen"), result.settings);
    readPlatform(root.section("platform"), result.settings);
    readSessions(root.section("sessions"), result.settings);
    readStop(root.section("stop"), result.settings);
    readFleet(root.section("fleet"), result.settings);
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
