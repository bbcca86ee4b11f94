#include "Base/Random.h"
#include "Configuration/ConfigurationCodec.h"
#include "Node/Node.h"
#include "Ownership/OwnershipPlanner.h"
#include "Settings/SettingsReader.h"
#include "Tests/Virtual/VirtualFleet.h"

#include <google/protobuf/util/json_util.h>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr int Rounds = 800;
constexpr std::size_t MostMutations = 8;

/** Changes, drops or doubles a few bytes. */
std::string mutate(std::string text, Random& random)
{
    const std::size_t count = 1 + random.below(MostMutations);
    for (std::size_t index = 0; index < count && !text.empty(); ++index) {
        const std::size_t place = random.below(text.size());
        switch (random.below(3)) {
        case 0:
            text[place] = static_cast<char>(random.below(256));
            break;
        case 1:
            text.erase(place, 1 + random.below(4));
            break;
        default:
            text.insert(place, text.substr(place, 1 + random.below(8)));
        }
    }
    return text;
}

peers::Member member(std::uint64_t number)
{
    peers::Member made;
    made.mutable_incarnation()->set_name("entry-" + std::to_string(number));
    made.mutable_incarnation()->set_number(number);
    made.set_address("10.0.0.1");
    made.set_port(static_cast<std::uint32_t>(1000 + number));
    made.set_data_centre("dc-1");
    return made;
}

peers::Ownership ownership()
{
    const std::vector<MemberStatus> statuses{ { .member = member(1) }, { .member = member(2) },
        { .member = member(3) } };
    return *OwnershipPlanner({}).plan({}, statuses, {});
}

std::vector<peers::PeerMessage> messages()
{
    std::vector<peers::PeerMessage> made(9);
    peers::Heartbeat* heartbeat = made[0].mutable_heartbeat();
    heartbeat->set_configuration_revision(9);
    heartbeat->set_ownership_epoch(9);
    *heartbeat->mutable_sender() = member(2);
    heartbeat->add_loads()->set_in_flight(3);
    heartbeat->add_leaving_signs()->set_service("bookings");
    *heartbeat->add_suspected() = member(3).incarnation();
    *heartbeat->add_joining() = member(4);
    heartbeat->add_completed()->set_slot(7);
    heartbeat->set_answer_wanted(true);
    made[1].mutable_documents_pull()->set_ownership_epoch(1);
    made[2].mutable_documents_push()->mutable_configuration()->set_revision(7);
    *made[3].mutable_documents_push()->mutable_ownership() = ownership();
    made[3].mutable_documents_push()->mutable_ownership()->set_epoch(40);
    peers::Claim* claim = made[4].mutable_claim();
    claim->set_slot_epoch(1);
    claim->set_request_id("booking");
    *claim->mutable_claimant() = member(2).incarnation();
    claim->set_claimant_address("10.0.0.1");
    claim->set_claimant_port(1002);
    made[5].mutable_claim_answer()->set_result(peers::ClaimAnswer::GRANTED);
    made[6].mutable_slot_records()->mutable_slot()->set_slot(3);
    made[6].mutable_slot_records()->add_records()->set_request_id("booking");
    made[7].mutable_slot_records_kept()->mutable_slot()->set_slot(3);
    made[8].mutable_probe_permit_request()->add_slots()->set_slot(3);
    for (peers::PeerMessage& message : made) {
        message.set_version(1);
        *message.mutable_from() = member(2).incarnation();
    }
    return made;
}

}

TEST_GROUP(Mutation)
{
    Random random{ 4711 };
};

TEST(Mutation, NoMessageOfAPeerBreaksANode)
{
    const v1::Configuration configuration = VirtualFleet({}).firstConfiguration();
    for (int round = 0; round < Rounds; ++round) {
        Node::Options options;
        options.name = "entry-1";
        options.incarnation = 1;
        options.peersAddress = { .host = "10.0.0.1", .port = 1001 };
        Node node(options);
        Actions actions;
        node.handle(StoreDocumentSeen{ .document = StoreDocument::Ownership, .value = ownership().SerializeAsString() },
            {}, actions);
        node.handle(
            StoreDocumentSeen{ .document = StoreDocument::Configuration, .value = encodeConfiguration(configuration) },
            {}, actions);
        Milliseconds now;
        for (const peers::PeerMessage& message : messages()) {
            peers::PeerMessage read;
            if (read.ParseFromString(mutate(message.SerializeAsString(), this->random)))
                node.handle(PeerMessageArrived{ .message = read }, now, actions);
            now = now + Milliseconds{ 600 };
            node.handle(Tick{}, now, actions);
        }
        CHECK_TEXT(actions.size() < 20000, "a few messages never cause a flood");
    }
}

TEST(Mutation, NoDocumentOfTheStoreBreaksANode)
{
    const std::string stored = encodeConfiguration(VirtualFleet({}).firstConfiguration());
    Node::Options options;
    options.name = "entry-1";
    options.incarnation = 1;
    Node node(options);
    Actions actions;
    for (int round = 0; round < Rounds; ++round) {
        node.handle(
            StoreDocumentSeen{ .document = StoreDocument::Configuration, .value = mutate(stored, this->random) }, {},
            actions);
        node.handle(StoreDocumentSeen{ .document = StoreDocument::Ownership,
                        .value = mutate(ownership().SerializeAsString(), this->random) },
            {}, actions);
        actions.clear();
    }
    CHECK(node.configuration());
}

TEST(Mutation, NoSettingsAndNoOperatorsCallBreakTheirReaders)
{
    const std::string settings
        = R"({"instance":{"name":"e","dataCentre":"d"},"listen":{"callers":"127.0.0.1:1","operators":"127.0.0.1:2","peers":"127.0.0.1:3"},"platform":{"address":"127.0.0.1:4"}})";
    const std::string call = R"({"change_id":"a","set_limits":{"service":"bookings","limits":{"retry_percent":10}}})";
    int good = 0;
    for (int round = 0; round < Rounds; ++round) {
        good += SettingsReader().read(mutate(settings, this->random)).findings.empty() ? 1 : 0;
        v1::ChangeRequest request;
        (void)google::protobuf::util::JsonStringToMessage(mutate(call, this->random), &request);
    }
    CHECK(good < Rounds);
}
