#include "Node/LeavingSigns.h"
#include "Node/ServiceTable.h"
#include "Routing/LoadAwarePolicy.h"

#include <memory>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

class Policies final : public PolicyFactory {
public:
    std::unique_ptr<RoutingPolicy> create() const override { return std::make_unique<LoadAwarePolicy>(); }
};

BackendServerRecord record(std::uint64_t life, const char* host = "10.0.0.1")
{
    BackendServerRecord server;
    server.id = "s1";
    server.life = life;
    server.service = "bookings";
    server.address = { .host = host, .port = 80 };
    server.dataCentre = "dc-1";
    return server;
}

ConfigurationUpdate named(const BackendServerRecord& server)
{
    ConfigurationUpdate facts;
    facts.backendServers.push_back(server);
    return facts;
}

/** Lives in consecutive records of one server, and the life that is used afterwards. */
struct Case {
    const char* name;
    std::vector<std::uint64_t> lives;
    std::uint64_t inUse;
    BackendServerChange::Kind last;
};

using Kind = BackendServerChange::Kind;

const std::vector<Case> Cases{
    { "the same life", { 5, 5 }, 5, Kind::Changed },
    { "a newer life", { 5, 9 }, 9, Kind::Restarted },
    { "a late record of an older life", { 9, 5 }, 9, Kind::Added },
    { "records without a life", { 0, 0 }, 0, Kind::Changed },
    { "a life after a record without one", { 0, 5 }, 5, Kind::Restarted },
};

}

TEST_GROUP(Lives)
{
    Random random{ 1 };
    ServiceTable table{ { .policies = std::make_shared<Policies>(), .retries = {} }, this->random };

    void setup() override
    {
        auto routing = std::make_shared<PreparedRouting>();
        routing->configuration.services.push_back({ .name = "bookings" });
        this->table.setRouting(routing);
    }

    std::vector<BackendServerChange> hear(const ConfigurationUpdate& facts)
    {
        return this->table.setBackendServers(facts, LongAgo, { 100 });
    }
};

TEST(Lives, TheNewestLifeIsTheOneInUse)
{
    for (const Case& item : Cases) {
        this->table = ServiceTable({ .policies = std::make_shared<Policies>(), .retries = {} }, this->random);
        this->setup();
        Kind last = Kind::Gone;
        for (const std::uint64_t life : item.lives) {
            for (const BackendServerChange& change : this->hear(named(record(life))))
                last = change.kind;
        }
        LONGS_EQUAL_TEXT(item.inUse, this->table.backendServer("s1")->record().life, item.name);
        CHECK_TEXT(last == item.last, item.name);
    }
}

TEST(Lives, NothingOfTheOldLifeIsBelievedOfTheNewOne)
{
    this->hear(named(record(5)));
    const auto before = this->table.backendServer("s1");
    before->updateLoad({ .running = 2, .waiting = 1, .slots = 3, .workPercent = 500 }, { 110 });
    before->sent(1, { 110 });
    before->setColdFor({ 60000 }, { 110 });
    before->eject({ 60000 });
    before->setLeaving();
    this->hear(named(record(9, "10.0.0.2")));
    const auto now = this->table.backendServer("s1");
    CHECK(now != before);
    CHECK(now->report().at == LongAgo);
    LONGS_EQUAL(0, now->inFlight());
    CHECK(now->takesNewRequests());
    CHECK_FALSE(now->isCold({ 130 }));
    CHECK_FALSE(now->isEjected({ 130 }));
    STRCMP_EQUAL("10.0.0.2:80", now->record().address.text().c_str());
    before->ended(1, { .result = AttemptResult::Broken }, {}, { 140 });
    LONGS_EQUAL_TEXT(0, now->failuresInARow(), "an attempt at the old life");
}

TEST(Lives, ALeavingSignOfTheOldLifeDoesNotSilenceTheNewOne)
{
    NoticeRegistry book({});
    this->table
        = ServiceTable({ .policies = std::make_shared<Policies>(), .retries = {}, .notices = &book }, this->random);
    this->setup();
    LeavingSigns signs({}, book, this->table);
    LeavingSigns::Messages told;
    this->hear(named(record(5)));
    signs.addOwn("s1", 5, { 110 });
    CHECK_FALSE(this->table.backendServer("s1")->takesNewRequests());
    LONGS_EQUAL(1, signs.takeNewlyLeaving().size());
    signs.fill(told, { 120 });
    this->hear(named(record(9)));
    signs.addOwn("s1", 5, { 130 });
    signs.receive(told, { 140 });
    CHECK(this->table.backendServer("s1")->takesNewRequests());
    LONGS_EQUAL(0, signs.takeNewlyLeaving().size());
    signs.addOwn("s1", 9, { 150 });
    CHECK_FALSE(this->table.backendServer("s1")->takesNewRequests());
    signs.receive(told, { 160 });
    CHECK_FALSE_TEXT(
        this->table.backendServer("s1")->takesNewRequests(), "a notice of an older life does not apply to it");
}

TEST(Lives, ARecordThatCannotBeReadAnyMoreNamesNoServer)
{
    this->hear(named(record(5)));
    ConfigurationUpdate spoilt;
    spoilt.unusableBackendServers.push_back("s1");
    constexpr Milliseconds lapseDeadline{ 60000 };
    const auto changes = this->table.setBackendServers(spoilt, lapseDeadline, { 200 });
    LONGS_EQUAL(1, changes.size());
    CHECK(changes.front().kind == Kind::Unusable);
    CHECK(!this->table.backendServer("s1"));
}
