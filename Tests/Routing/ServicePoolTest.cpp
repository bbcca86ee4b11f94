#include "Routing/ServicePool.h"
#include "Routing/LoadAwarePolicy.h"
#include "Routing/RequestRules.h"

#include <memory>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

v1::Service service(int servers)
{
    v1::Service made;
    made.set_name("bookings");
    for (int index = 1; index <= servers; ++index) {
        v1::BackendServer* server = made.add_backend_servers();
        server->set_name("s" + std::to_string(index));
        server->set_address("10.0.0.1");
        server->set_port(static_cast<std::uint32_t>(index));
        server->set_data_centre("dc-1");
    }
    return made;
}

const AttemptEnd Failure{ .result = AttemptResult::ErrorAnswer, .reportedInFlight = std::nullopt, .leaving = false };

void fail(ServicePool& pool, BackendServerState& server, int times, Milliseconds now)
{
    for (int count = 0; count < times; ++count) {
        server.sent(1, now);
        server.ended(1, Failure, now);
        pool.checkOutlier(server, now);
    }
}

}

TEST_GROUP(ServicePool)
{
    Random random{ 5 };
    RoutingContext context{ .now = { 100 }, .dataCentre = "dc-1" };
    ServicePool pool{ std::make_unique<LoadAwarePolicy>(), {} };

    std::string chosenName()
    {
        const Choice choice = this->pool.choose({}, this->context, this->random);
        return choice.server ? choice.server->name() : "";
    }
};

TEST(ServicePool, NeverChoosesDrainingOrLeavingServers)
{
    v1::Service description = service(3);
    description.mutable_backend_servers(0)->set_draining(true);
    this->pool.configure(description, 100, 1);
    this->pool.find("s2")->leavingSign(true, { 50 });
    for (int count = 0; count < 50; ++count)
        STRCMP_EQUAL("s3", this->chosenName().c_str());
    this->pool.find("s3")->leavingSign(true, { 50 });
    CHECK(this->pool.choose({}, this->context, this->random).reason == NoChoice::NobodyTakes);
}

TEST(ServicePool, TheLatestSignOfLeavingCounts)
{
    this->pool.configure(service(1), 100, 1);
    const auto server = this->pool.find("s1");
    CHECK(server->leavingSign(true, { 50 }));
    CHECK_FALSE_TEXT(server->leavingSign(false, { 40 }), "an older sign is no news");
    CHECK(server->isLeaving());
    CHECK(server->leavingSign(false, { 60 }));
    CHECK_FALSE(server->isLeaving());
}

TEST(ServicePool, EjectsFailingServersButNeverMoreThanHalf)
{
    this->pool.configure(service(4), 100, 1);
    for (const char* name : { "s1", "s2", "s3", "s4" })
        fail(this->pool, *this->pool.find(name), 5, { 100 });
    int ejected = 0;
    for (const auto& server : this->pool.servers())
        ejected += server->isEjected({ 101 }) ? 1 : 0;
    LONGS_EQUAL(2, ejected);
    CHECK(!this->chosenName().empty());
}

TEST(ServicePool, RatherAnEjectedServerThanNone)
{
    this->pool.configure(service(2), 100, 1);
    fail(this->pool, *this->pool.find("s1"), 3, { 100 });
    CHECK(this->pool.find("s1")->isEjected({ 101 }));
    this->pool.find("s2")->leavingSign(true, { 100 });
    STRCMP_EQUAL("s1", this->chosenName().c_str());
}

TEST(ServicePool, KeepsWithinItsShareOfConnections)
{
    this->pool.configure(service(1), 20, 10);
    const auto server = this->pool.find("s1");
    for (AttemptNumber attempt = 1; attempt <= 2; ++attempt) {
        STRCMP_EQUAL("s1", this->chosenName().c_str());
        server->sent(attempt, { 100 });
    }
    CHECK(this->pool.choose({}, this->context, this->random).reason == NoChoice::Full);
}

TEST(ServicePool, AContradictedReportCountsForNothing)
{
    this->pool.configure(service(1), 100, 1);
    const auto server = this->pool.find("s1");
    server->sent(1, { 100 });
    server->reported({ .inFlight = 0, .at = { 105 }, .origin = 1 });
    CHECK_TEXT(server->reportIsTrusted({ 105 }), "the request may still be on its way");
    server->reported({ .inFlight = 0, .at = { 120 }, .origin = 1 });
    CHECK_FALSE(server->reportIsTrusted({ 120 }));
    CHECK(server->reportIsTrusted({ 1121 }));
}

TEST(ServicePool, TheMostExactRuleDecides)
{
    struct Case {
        const char* method;
        const char* path;
        v1::Repeat repeat;
        double deadline;
    };
    v1::Service description = service(1);
    v1::RequestRule* all = description.add_rules();
    all->set_path_prefix("/bookings");
    all->set_repeat(v1::RUN_ONCE);
    v1::RequestRule* exact = description.add_rules();
    exact->set_method("GET");
    exact->set_path_prefix("/bookings");
    exact->set_repeat(v1::MAY_REPEAT);
    exact->set_deadline_milliseconds(70);
    const std::vector<Case> cases{
        { "POST", "/bookings/1", v1::RUN_ONCE, 1000 },
        { "GET", "/bookings/1", v1::MAY_REPEAT, 70 },
        { "GET", "/other", v1::MAY_REPEAT, 1000 },
        { "POST", "/other", v1::RUN_ONCE, 1000 },
    };
    for (const Case& item : cases) {
        const RequestClass found = classify(description, item.method, item.path, { 1000 });
        CHECK_EQUAL_TEXT(item.repeat, found.repeat, item.path);
        DOUBLES_EQUAL_TEXT(item.deadline, found.deadline.count, 0, item.path);
    }
}

TEST(ServicePool, QuickRefusalsDrawNoRequests)
{
    this->pool.configure(service(2), 100, 1);
    const auto shedding = this->pool.find("s1");
    int refused = 0;
    for (int count = 0; count < 1000; ++count) {
        this->context.now = this->context.now + Milliseconds{ 1 };
        const auto chosen = this->pool.choose({}, this->context, this->random).server;
        chosen->sent(1, this->context.now);
        const AttemptResult result = chosen == shedding ? AttemptResult::RefusedNotRun : AttemptResult::Answered;
        refused += chosen == shedding ? 1 : 0;
        chosen->ended(1, { .result = result, .reportedInFlight = std::nullopt, .leaving = false },
            this->context.now + Milliseconds{ 0.5 });
    }
    CHECK(refused > 0);
    CHECK(refused < 20);
}
