#include "Settings/SettingsReader.h"

#include <vector>

// Redefines operator new, so it must follow all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

struct Case {
    const char* name;
    const char* text;
    std::vector<const char*> places; // where the findings are, in order
};

constexpr const char* Good = R"({
    "instance": { "name": "entry-1", "dataCentre": "dc-1" },
    "listen": { "callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "[::1]:3" },
    "store": { "address": "10.0.0.1:8500" },
    "seeds": [ "10.0.0.2:7100", "10.0.0.3:7100" ],
    "stop": { "bound": "6s", "readinessLead": 1500 },
    "retries": { "share": 0.2, "slack": 64, "window": "10s" },
    "log": { "format": "json", "level": "warning" }
})";

constexpr const char* FiveFaults = R"({
    "instance": { "name": "entry-1" },
    "listen": { "callers": "localhost:80", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3" },
    "store": { "address": "10.0.0.1:8500", "colour": 1 },
    "sessions": { "maximum": 0 },
    "log": { "format": "xml" }
})";

constexpr const char* Contradictions = R"({
    "instance": { "name": "entry-1", "dataCentre": "dc-1" },
    "listen": { "callers": "127.0.0.1:1", "operators": "127.0.0.1:1", "peers": "127.0.0.1:3" },
    "store": { "address": "10.0.0.1:8500" },
    "stop": { "bound": 1000, "readinessLead": "1s" }
})";

constexpr const char* BadValues = R"({
    "instance": { "name": "entry-1", "dataCentre": "dc-1" },
    "listen": { "callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3" },
    "store": { "address": "10.0.0.1:8500" },
    "seeds": [ "10.0.0.2:7100", "nowhere" ],
    "stop": { "bound": "6 seconds", "readinessLead": "90s" },
    "retries": { "share": 1.5, "slack": -1 }
})";

constexpr const char* DuplicateKeys = R"({
    "instance": { "name": "entry-1", "name": "entry-2", "dataCentre": "dc-1" },
    "listen": { "callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3" },
    "store": { "address": "10.0.0.1:8500" },
    "store": { "address": "10.0.0.1:8501" }
})";

const std::vector<Case> Cases{
    { "good", Good, {} },
    { "not JSON", "{", { "/" } },
    { "not an object", "[]",
        { "/", "/instance/name", "/instance/dataCentre", "/listen/callers", "/listen/operators", "/listen/peers",
            "/store/address" } },
    { "five faults", FiveFaults,
        { "/instance/dataCentre", "/listen/callers", "/store/colour", "/sessions/maximum", "/log/format" } },
    { "bad values", BadValues,
        { "/seeds/1", "/stop/bound", "/stop/readinessLead", "/retries/share", "/retries/slack" } },
    { "duplicate keys", DuplicateKeys, { "/instance/name", "/store" } },
    { "contradictions", Contradictions, { "/stop/readinessLead", "/listen" } },
};

}

TEST_GROUP(SettingsReader){};

TEST(SettingsReader, GivesEveryFindingWithItsPlace)
{
    for (const Case& item : Cases) {
        const SettingsResult result = SettingsReader().read(item.text);
        LONGS_EQUAL_TEXT(item.places.size(), result.findings.all().size(), item.name);
        for (std::size_t index = 0; index < item.places.size(); ++index) {
            STRCMP_EQUAL_TEXT(item.places[index], result.findings.all()[index].place.c_str(), item.name);
            CHECK_TEXT(result.findings.all()[index].message.find("; ") != std::string::npos,
                "a finding says what to write instead");
        }
    }
}

TEST(SettingsReader, TakesWhatIsWritten)
{
    const Settings settings = SettingsReader().read(Good).settings;
    STRCMP_EQUAL("::1", settings.peersAddress.host.c_str());
    LONGS_EQUAL(8500, settings.storeAddress.port);
    LONGS_EQUAL(2, settings.seeds.size());
    DOUBLES_EQUAL(6000, settings.stopBound.count, 0);
    DOUBLES_EQUAL(1500, settings.stopReadinessLead.count, 0);
    DOUBLES_EQUAL(0.2, settings.retryShare, 0);
    DOUBLES_EQUAL(10000, settings.retryWindow.count, 0);
    CHECK(settings.logFormat == LogFormat::Json);
    CHECK(settings.logLevel == LogLevel::Warning);
}
