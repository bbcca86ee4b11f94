#include "Node/Node.h"
#include "Tests/Virtual/LineFactTranslator.h"

#include <memory>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

/** The item of one server, after so long without a word from the store. */
struct Case {
    const char* name;
    double silence; // until its item is gone
    const char* before; // what the item held
    double backAfter; // from then until it is there again; 0: never
    const char* soon; // its state 100 ms after it was gone
    const char* later; // and 2.1 s after
};

const std::vector<Case> Cases{
    { "removed while the store is heard", 1200, "ready", 0, "gone", "gone" },
    { "lapsed while the store was away, and back", 4500, "ready", 1500, "taking", "taking" },
    { "lapsed while the store was away, and not back", 4500, "ready", 0, "taking", "gone" },
    { "was leaving before the store went away", 4500, "draining", 0, "gone", "gone" },
    { "removed, and there again", 1200, "ready", 500, "gone", "taking" },
};

}

TEST_GROUP(LapsedServers)
{
    std::unique_ptr<Node> node;
    Actions actions;
    std::uint64_t number = 0;
    StoreRevision revision = 0;
    Milliseconds now;

    /** Starts with one server, confirmed at this time. */
    void begin(const char* value)
    {
        Node::Options options;
        options.name = "entry-1";
        options.incarnation = 1;
        options.peersAddress = { .host = "10.0.0.1", .port = 7000 };
        options.translator = std::make_shared<LineFactTranslator>();
        this->node = std::make_unique<Node>(options);
        this->number = 0;
        this->revision = 10;
        this->now = { 1000 };
        peers::PeerMessage push;
        push.set_version(PeerProtocolVersion);
        push.mutable_push()->set_store_revision(this->revision);
        const auto add = [&](const char* key, const char* text) {
            peers::Item* item = push.mutable_push()->add_items();
            item->set_key(key);
            item->set_value(text);
            item->set_revision(this->revision);
        };
        add("document", "route host.example /");
        add("server/s1", value);
        this->node->handle(PeerMessageArrived{ .message = push }, this->now, this->actions);
        this->hear(nullptr, false);
    }

    /** News of a watcher, with a change of the server's item when there is a value or it is removed. */
    void hear(const char* value, bool isRemoved)
    {
        peers::PeerMessage message;
        message.set_version(PeerProtocolVersion);
        peers::News* news = message.mutable_news();
        news->mutable_origin()->mutable_incarnation()->set_name("entry-2");
        news->mutable_origin()->mutable_incarnation()->set_number(1);
        news->mutable_origin()->set_address("10.0.0.2");
        news->mutable_origin()->set_port(7000);
        *message.mutable_from() = news->origin().incarnation();
        news->set_number(++this->number);
        news->set_base_revision(this->revision);
        if (value || isRemoved) {
            peers::Item* item = news->add_changes();
            item->set_key("server/s1");
            item->set_value(value ? value : "");
            item->set_removed(isRemoved);
            item->set_revision(++this->revision);
        }
        news->set_store_revision(this->revision);
        news->set_is_confirmed(true);
        this->node->handle(PeerMessageArrived{ .message = message }, this->now, this->actions);
    }

    void pass(double span)
    {
        this->now = this->now + Milliseconds{ span };
        this->node->handle(ControlTimer{}, this->now, this->actions);
    }

    std::string state() const
    {
        const v1::ShowLoadAnswer load = this->node->showLoad(std::string(LineServiceName), this->now);
        return load.backend_servers().empty() ? "gone" : load.backend_servers(0).state();
    }
};

// 0.896 of the worth was earned in the two seconds after an outage in which the
// records of servers lapsed, 0.97 around them.
TEST(LapsedServers, ServersWhoseRecordsLapsedAreKeptForAMoment)
{
    for (const Case& item : Cases) {
        this->begin(item.before);
        this->pass(item.silence);
        this->hear(nullptr, true);
        this->pass(100);
        STRCMP_EQUAL_TEXT(item.soon, this->state().c_str(), item.name);
        if (item.backAfter > 0) {
            this->pass(item.backAfter - 100);
            this->hear("ready", false);
            this->pass(2100 - item.backAfter);
        } else {
            this->pass(1000);
            this->hear(nullptr, false);
            this->pass(1000);
        }
        STRCMP_EQUAL_TEXT(item.later, this->state().c_str(), item.name);
    }
}

TEST(LapsedServers, TheEndOfTheMomentIsATimeToWakeUp)
{
    this->begin("ready");
    this->pass(4500);
    this->hear(nullptr, true);
    CHECK(this->node->nextControlDue() <= this->now + Milliseconds{ 2000 });
    this->pass(1999);
    this->hear(nullptr, false);
    CHECK(this->node->nextControlDue() <= this->now + Milliseconds{ 1 });
}
