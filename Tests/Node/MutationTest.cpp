#include "Base/Random.h"
#include "Configuration/ConfigurationCodec.h"
#include "HeaderDialect.h"
#include "KvItemTranslator.h"
#include "KvStoreProtocol.h"
#include "Settings/SettingsReader.h"
#include "Store/ValuePacking.h"
#include "StoreClient/NativeStoreProtocol.h"
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

/** Replaces, removes or duplicates a few random bytes. */
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

std::string storedConfiguration()
{
    return encodeConfiguration(virtualConfiguration({ "s0", "s1" }, 1));
}

std::vector<peers::PeerMessage> messages()
{
    std::vector<peers::PeerMessage> made(8);
    peers::Hello* hello = made[0].mutable_hello();
    *hello->mutable_member() = member(2);
    hello->set_store_revision(9);
    hello->add_leaving_signs()->set_backend_server("bookings/s0@10.0.0.1:1");
    peers::News* news = made[1].mutable_news();
    *news->mutable_origin() = member(2);
    news->set_number(4);
    news->set_base_revision(1);
    news->set_store_revision(6);
    news->set_is_confirmed(true);
    *news->add_watchers() = member(3);
    news->add_relay_to(addressOf(member(4)).packed());
    *news->add_contacts() = member(5);
    peers::Item* change = news->add_changes();
    change->set_key(NativeConfigurationKey);
    change->set_value(storedConfiguration());
    change->set_revision(6);
    made[2].mutable_pull()->set_store_revision(1);
    made[3].mutable_push()->set_store_revision(8);
    *made[3].mutable_push()->add_items() = *change;
    made[4].mutable_members_pull();
    peers::KnownMember* known = made[5].mutable_members_push()->add_members();
    *known->mutable_member() = member(2);
    *made[6].mutable_watchers()->add_watchers() = member(6);
    peers::ItemList list;
    *list.add_items() = *change;
    const std::string plain = list.SerializeAsString();
    made[7].mutable_push()->set_store_revision(9);
    made[7].mutable_push()->set_packed_items(packValue(plain, {}));
    made[7].mutable_push()->set_plain_bytes(static_cast<std::uint32_t>(plain.size()));
    for (peers::PeerMessage& message : made) {
        message.set_version(PeerProtocolVersion);
        *message.mutable_from() = member(2).incarnation();
    }
    return made;
}

Node::Options nodeOptions(std::shared_ptr<const StoreItemTranslator> translator)
{
    Node::Options options;
    options.name = "entry-1";
    options.incarnation = 1;
    options.peersAddress = { .host = "10.0.0.1", .port = 1001 };
    options.translator = std::move(translator);
    return options;
}

/** Answers the node's first read of the store with one item. */
void giveItem(Node& node, const std::string& key, const std::string& value, Actions& actions)
{
    node.handle(ControlTimer{}, {}, actions);
    // The first read is delayed at random, by up to a second.
    constexpr Milliseconds each{ 1 };
    constexpr std::size_t longest = 1000;
    const auto isAsked = [&] { return !actions.empty() && std::holds_alternative<CallStore>(actions.back()); };
    for (std::size_t count = 0; count < longest && !isAsked(); ++count)
        node.handle(ControlTimer{}, each * static_cast<double>(count), actions);
    StoreAnswer answer;
    answer.number = std::get<CallStore>(actions.back()).request.number;
    answer.status = StoreStatus::Done;
    answer.at = 3;
    answer.items.push_back({ .key = key, .value = value, .revision = 2, .removed = false });
    node.handle(StoreAnswered{ .answer = answer }, { 1005 }, actions);
}

}

TEST_GROUP(Mutation)
{
    Random random{ 4711 };
};

TEST(Mutation, NoMessageOfAnotherInstanceBreaksANode)
{
    for (int round = 0; round < Rounds; ++round) {
        Node node(nodeOptions(std::make_shared<NativeItemTranslator>()));
        Actions actions;
        giveItem(node, NativeConfigurationKey, storedConfiguration(), actions);
        CHECK(node.isReady());
        Milliseconds now{ 1010 };
        for (const peers::PeerMessage& message : messages()) {
            peers::PeerMessage read;
            if (read.ParseFromString(mutate(message.SerializeAsString(), this->random)))
                node.handle(PeerMessageArrived{ .message = read }, now, actions);
            now = now + Milliseconds{ 600 };
            node.handle(ControlTimer{}, now, actions);
            node.handle(RequestTimer{}, now, actions);
        }
        CHECK_TEXT(actions.size() < 20000, "a few messages must not cause a flood of actions");
        CHECK_TEXT(node.isReady(), "the configuration in force is kept");
    }
}

TEST(Mutation, NoItemOfTheStoreBreaksANode)
{
    const std::string server
        = R"({"address":"10.0.0.1:80","info":{"service":"s","zone":"z","slots":3},"status":{"state":"ready","cold_remaining":"5ms"}})";
    const std::string configuration
        = R"({"version":"0c","routes":{"r":{"host":"a","path_prefix":"/","type":"safe","timeout":"1s","service":"s"}},"services":{"s":{"max_connections":9}}})";
    for (int round = 0; round < Rounds; ++round) {
        Actions actions;
        Node own(nodeOptions(std::make_shared<NativeItemTranslator>()));
        giveItem(own, NativeConfigurationKey, mutate(storedConfiguration(), this->random), actions);
        actions.clear();
        Node platformNode(nodeOptions(std::make_shared<platform::KvItemTranslator>()));
        giveItem(platformNode, "op/config", mutate(configuration, this->random), actions);
        const platform::KvItemTranslator translator;
        const ConfigurationUpdate facts = translator.translate(
            { .key = "servers/i", .value = mutate(server, this->random), .revision = 1, .removed = false });
        CHECK(facts.backendServers.size() <= 1);
    }
}

TEST(Mutation, NoAnswerOfTheStoreOrOfABackendServerBreaksItsReader)
{
    const std::string range = R"({"items":[{"key":"a","value":"eA==","revision":4}],"more":true,"at":9})";
    StoreRequest request;
    int good = 0;
    for (int round = 0; round < Rounds; ++round) {
        HttpResponse response(boost::beast::http::status::ok, 11);
        setBody(response.body(), mutate(range, this->random));
        good += platform::KvStoreProtocol().decode(request, response).status == StoreStatus::Done ? 1 : 0;
        good += NativeStoreProtocol().decode(request, response).status == StoreStatus::Done ? 1 : 0;
        HttpResponse answer(boost::beast::http::status::ok, 11);
        std::string load = mutate("2,1,3,480", this->random);
        std::erase_if(load, [](char character) { return character == '\r' || character == '\n'; });
        setField(answer, "Instance-Load", load);
        CHECK(platform::HeaderDialect().readAnswer(answer, "i").result == AttemptResult::Broken);
    }
    CHECK(good > 0 && good < 2 * Rounds);
}

TEST(Mutation, NoSettingsAndNoOperatorsCallBreakTheirReaders)
{
    const std::string settings
        = R"({"instance":{"name":"e","dataCentre":"d"},"listen":{"callers":"127.0.0.1:1","operators":"127.0.0.1:2","peers":"127.0.0.1:3"},"store":{"address":"127.0.0.1:4"},"seeds":["127.0.0.1:5"],"stop":{"bound":"6s"}})";
    const std::string call = R"({"change_id":"a","set_limits":{"service":"bookings","limits":{"retry_percent":10}}})";
    int good = 0;
    for (int round = 0; round < Rounds; ++round) {
        good += SettingsReader().read(mutate(settings, this->random)).findings.empty() ? 1 : 0;
        v1::ChangeRequest request;
        (void)google::protobuf::util::JsonStringToMessage(mutate(call, this->random), &request);
    }
    CHECK(good < Rounds);
}
