#include "KvFactTranslator.h"
#include "Base64.h"

#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr const char* Configuration = R"({"version":"0000000c","routes":{
    "r-1":{"host":"a.example","path_prefix":"/x/","type":"unsafe","timeout":"1200ms","target_latency":"300ms","priority":1,"service":"s-a","max_attempts":2},
    "r-2":{"host":"b.example","path_prefix":"/y/","type":"safe","timeout":"1.5s","target_latency":"250ms","priority":2,
        "traffic_split":[{"service":"s-a","weight":90},{"service":"s-b","weight":10}],"max_attempts":3}},
    "services":{"s-a":{"health_check_path":"/health","max_connections":260},"s-b":{"health_check_path":"/h","max_connections":20}},
    "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15s"}})";

constexpr const char* Server
    = R"({"address":"10.128.0.9:8080","info":{"service":"s-a","version":"v1","zone":"z-1","slots":4},
    "status":{"state":"draining","sequence":4,"cold_remaining":"1500ms"}})";

StoreItem item(const char* key, const char* value, bool removed = false)
{
    return { .key = key, .value = value, .revision = 7, .removed = removed };
}

/** Items that say nothing, or cannot be read. */
struct Case {
    const char* name;
    StoreItem item;
    std::size_t findings;
};

const std::vector<Case> Cases{
    { "another key", item("op/other", "{}"), 0 },
    { "a status", item("status/x", "{}"), 0 },
    { "no JSON", item("op/config", "{"), 1 },
    { "a list", item("op/config", "[]"), 1 },
    { "a route to nowhere", item("op/config", R"({"routes":{"r":{"host":"a","path_prefix":"/"}}})"), 1 },
    { "a server without an address", item("servers/i", R"({"info":{"service":"s"}})"), 1 },
    { "a server without a service", item("servers/i", R"({"address":"10.0.0.1:1"})"), 1 },
    { "the configuration removed", item("op/config", "", true), 0 },
};

}

TEST_GROUP(KvFactTranslator)
{
    platform::KvFactTranslator translator;
};

TEST(KvFactTranslator, ReadsTheConfiguration)
{
    const Facts facts = this->translator.translate(item("op/config", Configuration));
    CHECK(facts.configuration.has_value());
    const RoutingConfiguration& configuration = *facts.configuration;
    LONGS_EQUAL(12, configuration.version);
    LONGS_EQUAL(2, configuration.routes.size());
    const Route& once = configuration.routes[0];
    CHECK(once.repeat == Repeat::RunOnce);
    DOUBLES_EQUAL(1200, once.timeout.count, 0);
    DOUBLES_EQUAL(300, once.targetLatency.count, 0);
    LONGS_EQUAL(2, once.mostAttempts);
    LONGS_EQUAL(1, once.rank);
    const Route& split = configuration.routes[1];
    CHECK(split.repeat == Repeat::MayRepeat);
    DOUBLES_EQUAL(1500, split.timeout.count, 0);
    LONGS_EQUAL(2, split.services.size());
    LONGS_EQUAL(90, split.services[0].weight);
    LONGS_EQUAL(260, configuration.services[0].connectionsPerBackendServer);
    STRCMP_EQUAL("/h", configuration.services[1].probePath.c_str());
    LONGS_EQUAL(16384, configuration.callerLimits.headerBytes);
    DOUBLES_EQUAL(15000, configuration.callerLimits.idleTimeout.count, 0);
}

TEST(KvFactTranslator, ReadsABackendServerAndItsEnd)
{
    const Facts facts = this->translator.translate(item("servers/i-7", Server));
    LONGS_EQUAL(1, facts.backendServers.size());
    const BackendServerRecord& record = facts.backendServers.front();
    STRCMP_EQUAL("i-7", record.id.c_str());
    STRCMP_EQUAL("s-a", record.service.c_str());
    STRCMP_EQUAL("10.128.0.9:8080", record.address.text().c_str());
    STRCMP_EQUAL("z-1", record.dataCentre.c_str());
    LONGS_EQUAL(4, record.slots);
    CHECK(record.draining);
    DOUBLES_EQUAL(1500, record.coldRemaining.count, 0);
    const Facts gone = this->translator.translate(item("servers/i-7", "", true));
    STRCMP_EQUAL("i-7", gone.goneBackendServers.front().c_str());
}

TEST(KvFactTranslator, WhatCannotBeReadChangesNothingAndIsTold)
{
    for (const Case& each : Cases) {
        const Facts facts = this->translator.translate(each.item);
        CHECK_TEXT(!facts.configuration && facts.backendServers.empty(), each.name);
        LONGS_EQUAL_TEXT(each.findings, facts.findings.all().size(), each.name);
    }
}

TEST(KvFactTranslator, Base64GoesThereAndBack)
{
    for (const std::string& text : { std::string(), std::string("f"), std::string("fo"), std::string("foo"),
             std::string("foob"), std::string("\0\xff\x10", 3) })
        STRCMP_EQUAL(text.c_str(), platform::decodeBase64(platform::encodeBase64(text))->c_str());
    STRCMP_EQUAL("bm9kZS0x", platform::encodeBase64("node-1").c_str());
    STRCMP_EQUAL("Zg==", platform::encodeBase64("f").c_str());
    for (const char* bad : { "a", "ab=", "****" })
        CHECK_FALSE(platform::decodeBase64(bad).has_value());
}
