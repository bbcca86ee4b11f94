#include "Base/Random.h"
#include "Tests/Virtual/LineItemTranslator.h"
#include "Tests/Virtual/VirtualFleet.h"

#include <memory>
#include <string>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

/**
 * A document with about 2,000 bytes per route, a fifth of them random like real
 * names, hosts and paths. Routes are few and long, because the leak check of the
 * test runner tracks each allocation.
 */
std::string documentOf(std::size_t routes, std::uint64_t seed)
{
    constexpr std::size_t randomBytes = 400;
    constexpr std::size_t sameBytes = 1600;
    constexpr std::size_t letters = 26;
    Random random(seed);
    std::string text;
    for (std::size_t route = 0; route < routes; ++route) {
        text += "route" + std::to_string(route) + " host" + std::to_string(route) + ".example /";
        for (std::size_t index = 0; index < randomBytes; ++index)
            text += static_cast<char>('a' + random.below(letters));
        text += std::string(sameBytes, 'x') + "/\n";
    }
    return text;
}

std::string stateOf(const Node& node, const std::string& server, Milliseconds now)
{
    const v1::ShowLoadAnswer load = node.showLoad(std::string(LineServiceName), now);
    for (const v1::BackendServerLoad& item : load.backend_servers()) {
        if (item.backend_server() == server)
            return item.state();
    }
    return "unknown";
}

peers::PeerMessage newsOf(StoreRevision base, StoreRevision revision, std::uint64_t number)
{
    peers::PeerMessage message;
    message.set_version(PeerProtocolVersion);
    peers::News* news = message.mutable_news();
    news->mutable_origin()->mutable_incarnation()->set_name("entry-2");
    news->mutable_origin()->mutable_incarnation()->set_number(1);
    news->mutable_origin()->set_address("10.0.0.2");
    news->mutable_origin()->set_port(7000);
    *message.mutable_from() = news->origin().incarnation();
    news->set_number(number);
    news->set_base_revision(base);
    news->set_store_revision(revision);
    news->set_is_confirmed(true);
    return message;
}

void addItem(peers::PeerMessage& message, const std::string& key, const std::string& value, StoreRevision revision)
{
    peers::Item* item = message.mutable_news()->add_changes();
    item->set_key(key);
    item->set_value(value);
    item->set_revision(revision);
}

}

TEST_GROUP(LargeItems)
{
    std::shared_ptr<LineItemTranslator> translator = std::make_shared<LineItemTranslator>();
    std::unique_ptr<Node> node;
    Actions actions;

    void setup() override
    {
        Node::Options options;
        options.name = "entry-1";
        options.incarnation = 1;
        options.peersAddress = { .host = "10.0.0.1", .port = 7000 };
        options.translator = this->translator;
        this->node = std::make_unique<Node>(options);
        peers::PeerMessage push;
        push.set_version(PeerProtocolVersion);
        push.mutable_push()->set_store_revision(10);
        const auto add = [&](const std::string& key, const std::string& value) {
            peers::Item* item = push.mutable_push()->add_items();
            item->set_key(key);
            item->set_value(value);
            item->set_revision(10);
        };
        add(std::string(LineDocumentKey), documentOf(2, 1));
        add("server/s1", "ready");
        add("server/s2", "ready");
        this->node->handle(PeerMessageArrived{ .message = push }, { 0 }, this->actions);
        STRCMP_EQUAL("taking", stateOf(*this->node, "s1", { 0 }).c_str());
    }
};

// Guards against delayed changes: a gossip update with a leaving server arrived
// in time, but was not applied while an earlier large document was still missing.
TEST(LargeItems, ASmallChangeIsInForceAlsoWhenAnEarlierOneIsMissing)
{
    peers::PeerMessage message = newsOf(12, 13, 1);
    addItem(message, "server/s1", "draining", 13);
    this->node->handle(PeerMessageArrived{ .message = message }, { 100 }, this->actions);
    STRCMP_EQUAL("draining", stateOf(*this->node, "s1", { 100 }).c_str());
    LONGS_EQUAL_TEXT(10, this->node->storeRevision(), "the missing changes still have to be pulled");
}

TEST(LargeItems, WhatWasAppliedEarlyIsNotTakenBackByWhatWasMissing)
{
    peers::PeerMessage message = newsOf(12, 13, 1);
    addItem(message, "server/s1", "draining", 13);
    this->node->handle(PeerMessageArrived{ .message = message }, { 100 }, this->actions);
    peers::PeerMessage push;
    push.set_version(PeerProtocolVersion);
    push.mutable_push()->set_base_revision(10);
    push.mutable_push()->set_store_revision(12);
    peers::Item* item = push.mutable_push()->add_items();
    item->set_key("server/s1");
    item->set_value("ready");
    item->set_revision(11);
    this->node->handle(PeerMessageArrived{ .message = push }, { 200 }, this->actions);
    STRCMP_EQUAL("draining", stateOf(*this->node, "s1", { 200 }).c_str());
}

// Guards against slow events: while a large document was translated within the
// node, handling one event took 155 ms on average, and all requests of the
// instance waited for it.
TEST(LargeItems, ALargeItemIsNotTranslatedWhileRequestsWait)
{
    const std::string document = documentOf(100, 2);
    peers::PeerMessage message = newsOf(10, 11, 1);
    addItem(message, std::string(LineDocumentKey), document, 11);
    this->node->handle(PeerMessageArrived{ .message = message }, { 100 }, this->actions);
    CHECK_TEXT(this->translator->longest() < document.size(), "large items must be translated outside the node");
}

// Guards against the two faults above together, on links and processors like
// those of the users.
TEST(LargeItems, ALeavingIsKnownInTimeBesideALargeDocument)
{
    constexpr Milliseconds bound{ 1700 }; // by then an instance that receives no updates calls the store itself
    constexpr std::size_t instances = 60;
    constexpr std::size_t routes = 60; // 120 KB: an eighth of the users' largest, on links an eighth as fast
    VirtualFleet::Options options;
    options.instances = instances;
    options.translator = this->translator;
    options.linkBytesPerMillisecond = 150;
    options.strongInstances = 8;
    VirtualFleet fleet(options);
    VirtualStore& store = fleet.theStore();
    store.put(std::string(LineDocumentKey), documentOf(20, 1));
    constexpr std::size_t servers = 12;
    for (std::size_t server = 0; server < servers; ++server)
        store.put("server/s" + std::to_string(server), "ready");
    fleet.startAll();
    fleet.run({ 10000 });

    // The document is written twice, first grown, then with a line added. Meanwhile one backend server leaves every
    // half second.
    std::string document = documentOf(routes, 2);
    std::size_t late = 0;
    for (std::size_t server = 0; server < servers; ++server) {
        if (server % 6 == 0) {
            store.put(std::string(LineDocumentKey), document);
            document += "changed x.example /x/\n";
        }
        const std::string id = "s" + std::to_string(server);
        store.put("server/" + id, "draining");
        fleet.clock().after(bound, [&fleet, &late, id] {
            for (std::size_t instance = 0; instance < fleet.size(); ++instance)
                late += stateOf(fleet.node(instance), id, fleet.now()) == "draining" ? 0 : 1;
        });
        fleet.run({ 500 });
    }
    fleet.run({ 3000 });
    LONGS_EQUAL_TEXT(0, late, "instances that did not learn in time of a leaving backend server");
    for (std::size_t instance = 0; instance < fleet.size(); ++instance)
        LONGS_EQUAL(store.revision(), fleet.node(instance).storeRevision());
}
