#include "KvItemTranslator.h"
#include "Base64.h"
#include "Customers/KeyDigest.h"

#include <random>
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
    = R"({"address":"10.128.0.9:8080","born":1764716442123,"info":{"service":"s-a","version":"v1","zone":"z-1","slots":4},
    "status":{"state":"draining","sequence":4,"cold_remaining":"1500ms"}})";

StoreItem item(const char* key, const char* value, bool removed = false)
{
    return { .key = key, .value = value, .revision = 7, .removed = removed };
}

/** An item that sets nothing, either because its key is not used or because it is invalid. */
struct Case {
    const char* name;
    StoreItem item;
    std::size_t findings; // number of findings
};

const std::vector<Case> Cases{
    { "another key", item("op/other", "{}"), 0 },
    { "a status", item("status/x", "{}"), 0 },
    { "invalid JSON", item("op/config", "{"), 1 },
    { "a list", item("op/config", "[]"), 1 },
    { "a route without a service",
        item("op/config", R"({"version":"01","routes":{"r":{"host":"a","path_prefix":"/"}}})"), 1 },
    { "a route without a host",
        item("op/config", R"({"version":"01","routes":{"r":{"path_prefix":"/","service":"s"}}})"), 1 },
    { "a version of another type",
        item("op/config", R"({"version":1,"routes":{"r":{"host":"a","path_prefix":"/","service":"s"}}})"), 1 },
    { "a negative weight", item("op/config", R"({"version":"01","routes":{"r":{"host":"a","path_prefix":"/",
        "traffic_split":[{"service":"s","weight":-4},{"service":"t","weight":1}]}}})"),
        1 },
    { "routes of another type", item("op/config", R"({"version":"01","routes":[]})"), 1 },
    { "the configuration removed", item("op/config", "", true), 0 },
};

/** A change that makes the record of a backend server invalid. */
struct InvalidRecord {
    const char* name;
    const char* valid; // text of the valid record
    const char* invalid; // text that replaces it
};

const std::vector<InvalidRecord> InvalidRecords{
    { "no address", R"("address":"10.128.0.9:8080",)", "" },
    { "an invalid address", R"("10.128.0.9:8080")", R"("somewhere")" },
    { "an address of another type", R"("10.128.0.9:8080")", "7" },
    { "a start time of another type", "1764716442123", R"("1764716442123")" },
    { "a start time that is not a whole number", "1764716442123", "1764716442123.5" },
    { "a negative start time", "1764716442123", "-1" },
    { "no service", R"("service":"s-a",)", "" },
    { "an empty service", R"("s-a")", R"("")" },
    { "a service of another type", R"("s-a")", R"(["s-a"])" },
    { "no software version", R"("version":"v1",)", "" },
    { "no data centre", R"("zone":"z-1",)", "" },
    { "a data centre of another type", R"("z-1")", "null" },
    { "no slots", R"(,"slots":4)", "" },
    { "zero slots", R"("slots":4)", R"("slots":0)" },
    { "slots of another type", R"("slots":4)", R"("slots":"4")" },
    { "a fraction of a slot", R"("slots":4)", R"("slots":4.5)" },
    { "too many slots", R"("slots":4)", R"("slots":400000000)" },
    { "no state", R"("state":"draining",)", "" },
    { "an unknown state", R"("draining")", R"("paused")" },
    { "a state of another type", R"("draining")", "true" },
    { "no sequence", R"("sequence":4,)", "" },
    { "a sequence of another type", R"("sequence":4)", R"("sequence":"four")" },
    { "no cold time", R"(,"cold_remaining":"1500ms")", "" },
    { "a cold time of another type", R"("1500ms")", "1500" },
    { "a cold time without a unit", R"("1500ms")", R"("1500")" },
    { "a cold time that is too long", R"("1500ms")", R"("900000000s")" },
    { "no info", R"("info")", R"("other")" },
    { "a status of another type", R"("status":{)", R"("status":"ready","other":{)" },
};

std::string replaced(std::string text, const std::string& usual, const std::string& next)
{
    const std::size_t at = text.find(usual);
    CHECK_TEXT(at != std::string::npos, usual.c_str());
    return text.replace(at, usual.size(), next);
}

}

TEST_GROUP(KvItemTranslator)
{
    platform::KvItemTranslator translator;
};

TEST(KvItemTranslator, ReadsTheConfiguration)
{
    const ConfigurationUpdate facts = this->translator.translate(item("op/config", Configuration));
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

TEST(KvItemTranslator, ReadsABackendServerAndItsRemoval)
{
    const ConfigurationUpdate facts = this->translator.translate(item("servers/i-7", Server));
    LONGS_EQUAL(1, facts.backendServers.size());
    const BackendServerRecord& record = facts.backendServers.front();
    STRCMP_EQUAL("i-7", record.id.c_str());
    STRCMP_EQUAL("s-a", record.service.c_str());
    STRCMP_EQUAL("10.128.0.9:8080", record.address.text().c_str());
    STRCMP_EQUAL("z-1", record.dataCentre.c_str());
    LONGS_EQUAL(4, record.slots);
    LONGS_EQUAL(1764716442123, record.life);
    CHECK(record.draining);
    DOUBLES_EQUAL(1500, record.coldRemaining.count, 0);
    const ConfigurationUpdate gone = this->translator.translate(item("servers/i-7", "", true));
    STRCMP_EQUAL("i-7", gone.goneBackendServers.front().c_str());
}

TEST(KvItemTranslator, InvalidItemsResultInFindingsOnly)
{
    for (const Case& each : Cases) {
        const ConfigurationUpdate facts = this->translator.translate(each.item);
        CHECK_TEXT(!facts.configuration && facts.backendServers.empty(), each.name);
        LONGS_EQUAL_TEXT(each.findings, facts.findings.all().size(), each.name);
    }
}

TEST(KvItemTranslator, EncodesAndDecodesBase64)
{
    for (const std::string& text : { std::string(), std::string("f"), std::string("fo"), std::string("foo"),
             std::string("foob"), std::string("\0\xff\x10", 3) })
        STRCMP_EQUAL(text.c_str(), platform::decodeBase64(platform::encodeBase64(text))->c_str());
    STRCMP_EQUAL("bm9kZS0x", platform::encodeBase64("node-1").c_str());
    STRCMP_EQUAL("Zg==", platform::encodeBase64("f").c_str());
    for (const char* bad : { "a", "ab=", "****" })
        CHECK_FALSE(platform::decodeBase64(bad).has_value());
}

TEST(KvItemTranslator, AnInvalidRecordIsNotUsed)
{
    for (const InvalidRecord& each : InvalidRecords) {
        const std::string record = replaced(Server, each.valid, each.invalid);
        const ConfigurationUpdate facts = this->translator.translate(item("servers/i-7", record.c_str()));
        CHECK_TEXT(facts.backendServers.empty(), each.name);
        LONGS_EQUAL_TEXT(1, facts.unusableBackendServers.size(), each.name);
        CHECK_TEXT(!facts.findings.empty(), each.name);
        CHECK_TEXT(facts.findings.all().front().place.starts_with("servers/i-7"), each.name);
    }
}

TEST(KvItemTranslator, ARecordWithoutAStartIsUsed)
{
    const std::string record = replaced(Server, R"("born":1764716442123,)", "");
    const ConfigurationUpdate facts = this->translator.translate(item("servers/i-7", record.c_str()));
    LONGS_EQUAL(1, facts.backendServers.size());
    LONGS_EQUAL(0, facts.backendServers.front().life);
}

// Random changes of bytes: the record is either used with all its fields valid or not used at all.
TEST(KvItemTranslator, ACorruptedRecordIsNeverUsedInPart)
{
    constexpr int rounds = 20000;
    std::mt19937 random(1);
    const std::string usual = Server;
    for (int round = 0; round < rounds; ++round) {
        std::string corrupted = usual;
        const std::size_t changes = 1 + random() % 3;
        for (std::size_t change = 0; change < changes; ++change)
            corrupted[random() % corrupted.size()] = static_cast<char>(random() % 256);
        const ConfigurationUpdate facts = this->translator.translate(item("servers/i-7", corrupted.c_str()));
        LONGS_EQUAL(1, facts.backendServers.size() + facts.unusableBackendServers.size());
        CHECK(facts.backendServers.empty() != facts.findings.empty());
        for (const BackendServerRecord& record : facts.backendServers)
            CHECK(!record.service.empty() && !record.dataCentre.empty() && record.slots > 0 && record.address.port);
    }
}

TEST(KvItemTranslator, ReadsThatADataCentreIsEmptied)
{
    const ConfigurationUpdate emptied = this->translator.translate(item("op/evacuate/z-1", "{}"));
    LONGS_EQUAL(1, emptied.dataCentres.size());
    STRCMP_EQUAL("z-1", emptied.dataCentres.front().dataCentre.c_str());
    CHECK(emptied.dataCentres.front().emptied);
    const ConfigurationUpdate back = this->translator.translate(item("op/evacuate/z-1", "", true));
    CHECK_FALSE(back.dataCentres.front().emptied);
    const ConfigurationUpdate unreadable = this->translator.translate(item("op/evacuate/z-1", "\x01{"));
    CHECK_TEXT(unreadable.dataCentres.front().emptied, "the key alone counts");
}

TEST(KvItemTranslator, ReadsLimitsOfColdServers)
{
    const ConfigurationUpdate facts = this->translator.translate(item("op/config",
        R"({"version":"01","routes":{"r":{"host":"a","path_prefix":"/","service":"s"}},
            "services":{"s":{"cold_start":"3s","cold_per_s":2.5}}})"));
    DOUBLES_EQUAL(2.5, facts.configuration->services.front().coldRequestsPerSecond, 0);
    DOUBLES_EQUAL(3000, facts.configuration->services.front().coldStart.count, 0);
}

namespace {

/** A configuration with these customers. */
std::string documentWith(const std::string& customers)
{
    return R"({"version":"00000007","routes":{"r":{"host":"a.example","path_prefix":"/x/","type":"safe","service":"s","public":true},)"
           R"("q":{"host":"b.example","path_prefix":"/x/","type":"safe","service":"s"}},"services":{"s":{}},"tenants":)"
        + customers + "}";
}

ConfigurationUpdate factsOfDocument(const std::string& document)
{
    StoreItem item;
    item.key = "op/config";
    item.value = document;
    item.revision = 3;
    return platform::KvItemTranslator().translate(item);
}

}

TEST(KvItemTranslator, ReadsCustomersTheirKeysAndLimits)
{
    const ConfigurationUpdate facts = factsOfDocument(documentWith(
        R"({"acme":{"api_keys":["k1","k2"],"priority":1,"rate_per_s":327,"burst":30},"free":{"api_keys":[]}})"));
    CHECK(facts.configuration.has_value());
    const auto& customers = facts.configuration->customers;
    LONGS_EQUAL(2, customers.size());
    STRCMP_EQUAL("acme", customers[0].name.c_str());
    LONGS_EQUAL(2, customers[0].keys.size());
    CHECK(customers[0].keys[1] == digestOfKey("k2"));
    LONGS_EQUAL(1, customers[0].rank.value_or(9));
    DOUBLES_EQUAL(327, customers[0].limit.requestsPerSecond, 0);
    DOUBLES_EQUAL(30, customers[0].limit.burst, 0);
    CHECK_FALSE(customers[1].limit.isSet());
    CHECK_FALSE(customers[1].rank.has_value());
    for (const Route& route : facts.configuration->routes)
        CHECK_EQUAL(route.name == "r", route.isPublic);
}

TEST(KvItemTranslator, FindingsAboutCustomersContainNoKeys)
{
    const std::vector<std::string> documents{
        R"({"acme":{"api_keys":["secret-1"]},"other":{"api_keys":["secret-2","secret-1"]}})",
        R"({"acme":{"api_keys":"secret-1"}})",
        R"({"acme":{"api_keys":[7,"secret-1"]}})",
        R"({"acme":"secret-1"})",
    };
    for (const std::string& customers : documents) {
        const ConfigurationUpdate facts = factsOfDocument(documentWith(customers));
        CHECK_TEXT(!facts.configuration.has_value(), customers.c_str());
        CHECK_TEXT(!facts.findings.empty(), customers.c_str());
        CHECK_TEXT(facts.findings.text().find("secret") == std::string::npos, facts.findings.text().c_str());
    }
}

TEST(KvItemTranslator, ReplacesAllKeysAndNothingElse)
{
    struct Case {
        std::string before;
        std::string after;
    };
    const std::string first = digestOfKey("k\"1").text();
    const std::vector<Case> cases{
        { R"({"tenants":{"a":{"api_keys":["k\"1"],"burst":1}}})",
            R"({"tenants":{"a":{"key_digests":[")" + first + R"("],"burst":1}}})" },
        { R"({"a":{ "api_keys" : [ ] , "b" : "]" }})", R"({"a":{ "key_digests":[] , "b" : "]" }})" },
        { R"({"a":{"api_keys":"k1"}})", R"({"a":{"api_keys":"k1"}})" },
        { R"({"a":"\"api_keys\":[\"k\"]"})", R"({"a":"\"api_keys\":[\"k\"]"})" },
    };
    const platform::KvItemTranslator translator;
    for (const Case& item : cases) {
        StoreItem stored;
        stored.key = "op/config";
        stored.value = item.before;
        const auto cleared = translator.withoutSecrets(stored);
        STRCMP_EQUAL(item.after.c_str(), cleared.value_or(item.before).c_str());
        // Removing the keys a second time changes nothing.
        stored.value = cleared.value_or(item.before);
        STRCMP_EQUAL(item.after.c_str(), translator.withoutSecrets(stored).value_or(stored.value).c_str());
    }
    const ConfigurationUpdate raw = factsOfDocument(documentWith(R"({"a":{"api_keys":["k1"]}})"));
    StoreItem item;
    item.key = "op/config";
    item.value = documentWith(R"({"a":{"api_keys":["k1"]}})");
    const ConfigurationUpdate cleared = factsOfDocument(*translator.withoutSecrets(item));
    CHECK(raw.configuration->customers[0].keys[0] == cleared.configuration->customers[0].keys[0]);
}
