#include "Node/ItemPacker.h"

#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

/** A large item whose value differs by revision. */
StoreItem document(StoreRevision revision)
{
    std::string value;
    while (value.size() < 2 * LargeValueBytes)
        value += "route " + std::to_string(value.size()) + '\n';
    return { .key = "document", .value = value + std::to_string(revision), .revision = revision, .removed = false };
}

StoreView viewOf(const std::vector<StoreRevision>& revisions)
{
    StoreView view;
    for (const StoreRevision revision : revisions)
        view.applyChanges(std::vector{ document(revision) }, revision);
    return view;
}

/** The revisions of a document that two instances received, and the encoding that results. */
struct Case {
    const char* name;
    std::vector<StoreRevision> sender;
    std::vector<StoreRevision> receiver;
    StoreRevision heldThrough; // reported by the receiver
    StoreRevision base; // revision of the value that the message is packed against; 0: none
    bool isRead; // whether the receiver can unpack it
};

const std::vector<Case> Cases{
    { "against the previous value", { 5, 9 }, { 5 }, 6, 5, true },
    { "against the value before the previous one", { 5, 7, 9 }, { 5 }, 6, 5, true },
    { "the sender holds more values", { 3, 5, 9 }, { 5 }, 5, 5, true },
    { "the receiver already has a later value", { 5, 9 }, { 5, 7 }, 6, 5, true },
    { "the receiver holds nothing", { 5, 9 }, {}, 0, 0, true },
    { "the sender dropped the receiver's value", { 2, 3, 4, 5, 9 }, { 2 }, 2, 0, true },
    { "the receiver dropped the base", { 2, 9 }, { 2, 3, 4, 5, 6 }, 2, 2, false },
};

}

TEST_GROUP(ItemPacker){};

TEST(ItemPacker, PacksAgainstWhatTheReceiverHolds)
{
    for (const Case& item : Cases) {
        const StoreView sender = viewOf(item.sender);
        const StoreView receiver = viewOf(item.receiver);
        peers::Item message;
        ItemPacker(sender).write(*sender.find("document"), item.heldThrough, message);
        CHECK_TEXT(message.is_packed(), item.name);
        LONGS_EQUAL_TEXT(item.base, message.base_revision(), item.name);
        CHECK_TEXT(!item.base || message.value().size() < 200, item.name);
        const auto read = ItemPacker(receiver).read(message);
        CHECK_EQUAL_TEXT(item.isRead, read.has_value(), item.name);
        CHECK_TEXT(!read || *read == *sender.find("document"), item.name);
    }
}

TEST(ItemPacker, SmallItemsAndRemovalsStayAsTheyAre)
{
    const StoreView view;
    const std::vector<StoreItem> items{
        { .key = "a", .value = "small", .revision = 3, .removed = false },
        { .key = "a", .value = {}, .revision = 4, .removed = true },
    };
    for (const StoreItem& item : items) {
        peers::Item message;
        ItemPacker(view).write(item, 2, message);
        CHECK_FALSE(message.is_packed());
        CHECK(ItemPacker(view).read(message) == item);
    }
}
