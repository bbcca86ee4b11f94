#include "Configuration/ChangeApplier.h"

#include "Configuration/ConfigurationCodec.h"

#include <google/protobuf/util/json_util.h>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr const char* Base
    = R"({"revision": 4, "services": [{"name": "bookings", "hosts": ["b.example"], "backend_servers": [
    {"name": "s1", "address": "10.0.0.1", "port": 80, "data_centre": "dc-1"}]}]})";

struct Case {
    const char* request;
    std::vector<const char*> places; // of the findings
};

const std::vector<Case> Cases{
    { R"({"change_id": "a", "drain_backend_server": {"service": "bookings", "backend_server": "s1", "draining": true}})",
        {} },
    { R"({"change_id": "a", "drain_backend_server": {"service": "bookings", "backend_server": "s9"}})",
        { "/backend_server" } },
    { R"({"change_id": "a", "remove_service": {"service": "other"}})", { "/service" } },
    { R"({"change_id": "a", "empty_data_centre": {"data_centre": "dc-1", "emptied": true}})", {} },
    { R"({"change_id": "a", "empty_data_centre": {"data_centre": "dc-9", "emptied": true}})", { "/data_centre" } },
    { R"({"change_id": "a", "empty_data_centre": {"data_centre": "dc-9"}})", {} },
    { R"({"change_id": "a"})", { "/change" } },
    { R"({"remove_service": {"service": "bookings"}})", { "/change_id" } },
    { R"({"change_id": "a", "create_service": {"service": {"name": "bookings", "hosts": ["b.example"]}}})",
        { "/services/1/name", "/services/1/hosts" } },
    { R"({"change_id": "a", "create_service": {"service": {"name": "x y"}}})",
        { "/services/1/name", "/services/1/hosts" } },
    { R"({"change_id": "a", "name_backend_server": {"service": "bookings", "backend_server": {"name": "s2", "address": "host", "port": 70000, "data_centre": "dc"}}})",
        { "/services/0/backend_servers/1/address", "/services/0/backend_servers/1/port" } },
    { R"({"change_id": "a", "set_request_rule": {"service": "bookings", "rule": {"method": "post", "path_prefix": "x"}}})",
        { "/services/0/rules/0/method", "/services/0/rules/0/path_prefix", "/services/0/rules/0/repeat" } },
    { R"({"change_id": "a", "set_limits": {"service": "bookings", "limits": {"retry_percent": 101}}})",
        { "/services/0/limits/retry_percent" } },
};

}

TEST_GROUP(ChangeApplier){};

TEST(ChangeApplier, RefusesWithAllFindingsOrReturnsTheNextRevision)
{
    const v1::Configuration base = *decodeConfiguration(Base);
    for (const Case& item : Cases) {
        v1::ChangeRequest request;
        CHECK_TEXT(google::protobuf::util::JsonStringToMessage(item.request, &request).ok(), item.request);
        ChangeApplier applier;
        const ChangedConfiguration changed = applier.apply(request, base, "entry-1");
        LONGS_EQUAL_TEXT(item.places.size(), changed.findings.all().size(), item.request);
        for (std::size_t index = 0; index < item.places.size(); ++index)
            STRCMP_EQUAL_TEXT(item.places[index], changed.findings.all()[index].place.c_str(), item.request);
        if (!item.places.empty())
            continue;
        LONGS_EQUAL(5, changed.configuration.revision());
        LONGS_EQUAL(5, findAppliedChange(changed.configuration, "a")->revision());
    }
}
