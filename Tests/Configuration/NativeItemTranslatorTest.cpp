#include "Configuration/NativeItemTranslator.h"
#include "Configuration/ConfigurationCodec.h"
#include "Routing/RouteTable.h"

#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr const char* Document
    = R"({"revision": 7, "services": [{"name": "bookings", "hosts": ["b.example", "c.example"],
    "backend_servers": [{"name": "s1", "address": "10.0.0.1", "port": 80, "data_centre": "dc-1", "draining": true}],
    "limits": {"retry_percent": 5, "probe_budget_milliseconds": 90},
    "rules": [
        {"method": "POST", "path_prefix": "/search", "repeat": "MAY_REPEAT", "deadline_milliseconds": 900, "target_milliseconds": 300},
        {"path_prefix": "/search/export", "repeat": "RUN_ONCE", "priority": "CAN_WAIT"},
        {"method": "GET", "path_prefix": "/book", "repeat": "RUN_ONCE"}]}]})";

/** A request and the expected values of its route. */
struct Case {
    const char* method;
    const char* path;
    Repeat repeat;
    std::uint32_t rank;
    double timeout;
    double target;
};

const std::vector<Case> Cases{
    { "GET", "/any", Repeat::MayRepeat, 0, 10000, 10000 },
    { "HEAD", "/any", Repeat::MayRepeat, 0, 10000, 10000 },
    { "OPTIONS", "/any", Repeat::MayRepeat, 0, 10000, 10000 },
    { "POST", "/any", Repeat::RunOnce, 0, 10000, 10000 },
    { "DELETE", "/search/x", Repeat::RunOnce, 0, 10000, 10000 },
    { "POST", "/search/x", Repeat::MayRepeat, 0, 900, 300 },
    { "POST", "/search/export", Repeat::RunOnce, 1, 10000, 10000 },
    { "GET", "/search/export", Repeat::RunOnce, 1, 10000, 10000 },
    { "GET", "/book", Repeat::RunOnce, 0, 10000, 10000 },
};

}

TEST_GROUP(NativeItemTranslator)
{
    ConfigurationUpdate facts = configurationUpdateOf(*decodeConfiguration(Document));
};

TEST(NativeItemTranslator, TheMostSpecificRuleApplies)
{
    const RouteTable table(*this->facts.configuration);
    for (const Case& item : Cases) {
        for (const char* host : { "b.example", "c.example" }) {
            const auto route = table.find(host, item.method, item.path);
            CHECK_TEXT(route != nullptr, item.path);
            CHECK_TEXT(route->repeat == item.repeat, item.path);
            LONGS_EQUAL_TEXT(item.rank, route->rank, item.path);
            DOUBLES_EQUAL_TEXT(item.timeout, route->timeout.count, 0, item.path);
            DOUBLES_EQUAL_TEXT(item.target, route->targetLatency.count, 0, item.path);
        }
    }
}

TEST(NativeItemTranslator, ReadsServicesAndBackendServers)
{
    LONGS_EQUAL(7, this->facts.configuration->version);
    DOUBLES_EQUAL(0.05, this->facts.configuration->services.front().retryShare, 1e-9);
    DOUBLES_EQUAL(0.5, this->facts.configuration->services.front().probeShare, 1e-9);
    CHECK(this->facts.areAllBackendServers);
    const BackendServerRecord& server = this->facts.backendServers.front();
    STRCMP_EQUAL("bookings/s1@10.0.0.1:80", server.id.c_str());
    CHECK(server.draining);
}

TEST(NativeItemTranslator, ReportsAnUnreadableItemAndChangesNothing)
{
    const NativeItemTranslator translator;
    const ConfigurationUpdate bad
        = translator.translate({ .key = NativeConfigurationKey, .value = "{", .revision = 1, .removed = false });
    LONGS_EQUAL(1, bad.findings.all().size());
    CHECK(!bad.configuration && !bad.areAllBackendServers);
}
