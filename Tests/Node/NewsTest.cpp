#include "Configuration/NativeItemTranslator.h"
#include "Node/Node.h"

#include <memory>
#include <string>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

peers::PeerMessage news(std::uint64_t life, std::uint64_t number, StoreRevision base, StoreRevision revision)
{
    peers::PeerMessage message;
    message.set_version(PeerProtocolVersion);
    peers::News* told = message.mutable_news();
    told->mutable_origin()->mutable_incarnation()->set_name("entry-2");
    told->mutable_origin()->mutable_incarnation()->set_number(life);
    told->mutable_origin()->set_address("10.0.0.2");
    told->mutable_origin()->set_port(7000);
    *message.mutable_from() = told->origin().incarnation();
    told->set_number(number);
    told->set_base_revision(base);
    told->set_store_revision(revision);
    told->set_is_confirmed(true);
    return message;
}

}

TEST_GROUP(News)
{
    std::unique_ptr<Node> node;
    Actions actions;

    void setup() override
    {
        Node::Options options;
        options.name = "entry-1";
        options.incarnation = 1;
        options.peersAddress = { .host = "10.0.0.1", .port = 7000 };
        options.translator = std::make_shared<NativeItemTranslator>();
        this->node = std::make_unique<Node>(options);
        peers::PeerMessage push;
        push.set_version(PeerProtocolVersion);
        push.mutable_push()->set_store_revision(10);
        this->node->handle(PeerMessageArrived{ .message = push }, { 0 }, this->actions);
        LONGS_EQUAL(10, this->node->storeRevision());
    }

    StoreRevision after(const peers::PeerMessage& message, Milliseconds now)
    {
        this->node->handle(PeerMessageArrived{ .message = message }, now, this->actions);
        return this->node->storeRevision();
    }
};

TEST(News, AnOlderNumberOrLifeSaysNothing)
{
    LONGS_EQUAL(11, this->after(news(50, 5, 10, 11), { 100 }));
    LONGS_EQUAL_TEXT(11, this->after(news(50, 4, 11, 12), { 200 }), "an older number");
    LONGS_EQUAL_TEXT(
        11, this->after(news(49, 9, 11, 12), { 300 }), "an earlier incarnation, while the later one is active");
    LONGS_EQUAL(12, this->after(news(50, 6, 11, 12), { 400 }));
}

TEST(News, ALifeWhoseClockWentBackIsHeardOnceTheOtherIsSilent)
{
    LONGS_EQUAL(11, this->after(news(50, 5, 10, 11), { 100 }));
    LONGS_EQUAL(12, this->after(news(20, 1, 11, 12), { 6000 }));
    LONGS_EQUAL(13, this->after(news(20, 2, 12, 13), { 6500 }));
}

TEST(News, OnlyTheFirstNewWatcherIsToldOfMembersByOneThatDoesNotWatch)
{
    peers::PeerMessage hello;
    hello.set_version(PeerProtocolVersion);
    peers::Member* member = hello.mutable_hello()->mutable_member();
    member->mutable_incarnation()->set_name("entry-9");
    member->mutable_incarnation()->set_number(1);
    member->set_address("10.0.0.9");
    member->set_port(7000);
    this->node->handle(PeerMessageArrived{ .message = hello }, { 50 }, this->actions);
    const auto introductions = [this] {
        std::size_t count = 0;
        for (const Action& action : this->actions) {
            const auto* sent = std::get_if<SendToPeer>(&action);
            count += sent && sent->message.has_members_push() ? 1 : 0;
        }
        return count;
    };
    this->after(news(50, 5, 10, 11), { 100 });
    LONGS_EQUAL(1, introductions());
    peers::PeerMessage second = news(60, 1, 11, 12);
    second.mutable_news()->mutable_origin()->mutable_incarnation()->set_name("entry-3");
    this->after(second, { 200 });
    LONGS_EQUAL_TEXT(1, introductions(), "the leading watcher introduces later ones");
}

TEST(News, WhatCannotBeAppliedWithoutAGapIsPulled)
{
    LONGS_EQUAL(10, this->after(news(50, 5, 20, 21), { 100 }));
    bool pulls = false;
    for (const Action& action : this->actions) {
        const auto* sent = std::get_if<SendToPeer>(&action);
        pulls = pulls || (sent && sent->message.has_pull() && sent->message.pull().store_revision() == 10);
    }
    CHECK(pulls);
}
