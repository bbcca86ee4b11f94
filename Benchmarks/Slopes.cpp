#include "Benchmarks/Slopes.h"

#include "Base/Hash.h"
#include "Configuration/ConfigurationCodec.h"
#include "Membership/Overlay.h"
#include "Node/ActionOutbox.h"
#include "Node/Node.h"
#include "Ownership/OwnershipPlanner.h"

#include <ctime>
#include <malloc.h>

namespace burlreach {

namespace {

using nlohmann::json;

constexpr double RunSeconds = 60;
constexpr double TickMilliseconds = 5;
constexpr std::size_t DataCentres = 5;

/** The size of a fleet and of its configuration. */
struct Size {
    std::size_t members = 0;
    std::size_t services = 0;
    std::size_t backendServers = 0;
    double changesPerDay = 0;
    double heartbeatMilliseconds = 500;
};

double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    constexpr double nanosecondsPerSecond = 1e9;
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / nanosecondsPerSecond;
}

peers::Member member(std::size_t index)
{
    peers::Member made;
    made.mutable_incarnation()->set_name("entry-" + std::to_string(index));
    made.mutable_incarnation()->set_number(index + 1);
    made.set_address("10." + std::to_string(index / 250) + ".0." + std::to_string(index % 250));
    made.set_port(7000);
    made.set_data_centre("dc-" + std::to_string(index % DataCentres));
    return made;
}

peers::Ownership ownershipOf(const Size& size)
{
    std::vector<MemberStatus> statuses;
    for (std::size_t index = 0; index < size.members; ++index)
        statuses.push_back({ .member = member(index), .reachable = true, .gone = false });
    OwnershipPlanner planner({});
    peers::Ownership ownership = *planner.plan({}, statuses, {});
    for (peers::Slot& slot : *ownership.mutable_slots())
        slot.set_backup_complete(true);
    return ownership;
}

v1::Configuration configurationOf(const Size& size)
{
    v1::Configuration configuration;
    configuration.set_revision(1);
    for (std::size_t index = 0; index < size.services; ++index) {
        v1::Service* service = configuration.add_services();
        service->set_name("service-" + std::to_string(index));
        service->add_hosts("service-" + std::to_string(index));
    }
    for (std::size_t index = 0; index < size.backendServers; ++index) {
        v1::BackendServer* server
            = configuration.mutable_services(static_cast<int>(index % size.services))->add_backend_servers();
        server->set_name("server-" + std::to_string(index));
        server->set_address("10.1." + std::to_string(index / 250) + "." + std::to_string(index % 250));
        server->set_port(8000);
        server->set_data_centre("dc-" + std::to_string(index % DataCentres));
    }
    return configuration;
}

/** One node among fake peers that answer as real ones would. */
class SlopeRun {
public:
    explicit SlopeRun(const Size& givenSize)
        : size(givenSize)
        , ownership(ownershipOf(givenSize))
        , configuration(configurationOf(givenSize))
        , overlay(this->ownership)
    {
    }

    json run()
    {
        const std::size_t memoryBefore = mallinfo2().uordblks;
        Node node(this->options());
        this->feed(node, InstanceListSeen{ .list = this->list() });
        this->feed(node,
            StoreDocumentSeen{ .document = StoreDocument::Ownership, .value = this->ownership.SerializeAsString() });
        this->feed(node,
            StoreDocumentSeen{
                .document = StoreDocument::Configuration, .value = encodeConfiguration(this->configuration) });
        this->bytesSent = 0;
        this->messagesSent = 0;
        this->bytesReceived = 0;
        this->messagesReceived = 0;
        const double start = processorSeconds();
        for (; this->now.count < RunSeconds * Second.count; this->now = this->now + Milliseconds{ TickMilliseconds })
            this->step(node);
        const double used = processorSeconds() - start - this->fakeSeconds;
        const std::size_t memoryAfter = mallinfo2().uordblks;
        return {
            { "members", this->size.members },
            { "services", this->size.services },
            { "backend_servers", this->size.backendServers },
            { "changes_per_day", this->size.changesPerDay },
            { "heartbeat_milliseconds", this->size.heartbeatMilliseconds },
            { "processor_percent", 100 * used / RunSeconds },
            { "memory_bytes", memoryAfter - memoryBefore },
            { "messages_sent_per_second", static_cast<double>(this->messagesSent) / RunSeconds },
            { "message_bytes_sent_per_second", static_cast<double>(this->bytesSent) / RunSeconds },
            { "messages_received_per_second", static_cast<double>(this->messagesReceived) / RunSeconds },
            { "message_bytes_received_per_second", static_cast<double>(this->bytesReceived) / RunSeconds },
            { "store_calls_per_second", static_cast<double>(this->storeCalls) / RunSeconds },
            { "configuration_bytes", this->configuration.ByteSizeLong() },
            { "ownership_bytes", this->ownership.ByteSizeLong() },
        };
    }

private:
    /** Not a coordinator: the usual role. */
    peers::Member self() const { return this->overlay.ranked().back(); }

    Node::Options options() const
    {
        Node::Options options;
        options.name = this->self().incarnation().name();
        options.incarnation = this->self().incarnation().number();
        options.dataCentre = this->self().data_centre();
        options.peersAddress = { .host = this->self().address(), .port = 7000 };
        options.seed = 1;
        options.heartbeatInterval = { this->size.heartbeatMilliseconds };
        return options;
    }

    InstanceList list() const
    {
        InstanceList list;
        list.index = 1;
        for (const peers::Member& item : this->ownership.members())
            list.instances.push_back({ .name = item.incarnation().name(),
                .dataCentre = item.data_centre(),
                .address = { .host = item.address(), .port = 7000 },
                .leaving = false });
        return list;
    }

    void feed(Node& node, const Event& event)
    {
        Actions actions;
        node.handle(event, this->now, actions);
        const double start = processorSeconds();
        for (const Action& action : actions)
            this->answer(action);
        this->fakeSeconds += processorSeconds() - start;
    }

    void answer(const Action& action)
    {
        if (std::holds_alternative<AskStore>(action))
            ++this->storeCalls;
        const auto* sent = std::get_if<SendToPeer>(&action);
        if (!sent)
            return;
        ++this->messagesSent;
        this->bytesSent += sent->message.ByteSizeLong();
        peers::PeerMessage permit;
        for (const peers::Member& item : this->ownership.members()) {
            if (item.address() == sent->address.host)
                permit = this->messageFrom(item);
        }
        if (sent->message.has_slot_records()) {
            *permit.mutable_slot_records_kept()->mutable_slot() = sent->message.slot_records().slot();
            this->inbox.push_back(std::move(permit));
            return;
        }
        if (!sent->message.has_probe_permit_request())
            return;
        // The backup of these slots permits.
        const auto& asked = sent->message.probe_permit_request();
        *permit.mutable_probe_permit()->mutable_slots() = asked.slots();
        permit.mutable_probe_permit()->set_number(asked.number());
        this->inbox.push_back(std::move(permit));
    }

    peers::PeerMessage messageFrom(const peers::Member& item) const
    {
        peers::PeerMessage message;
        message.set_version(PeerProtocolVersion);
        *message.mutable_from() = item.incarnation();
        return message;
    }

    peers::PeerMessage heartbeatFrom(const peers::Member& item)
    {
        peers::PeerMessage message = this->messageFrom(item);
        peers::Heartbeat* heartbeat = message.mutable_heartbeat();
        heartbeat->set_configuration_revision(this->configuration.revision());
        heartbeat->set_ownership_epoch(this->ownership.epoch());
        constexpr std::size_t figures = 6;
        for (std::size_t index = 0; index < std::min(figures, this->size.backendServers); ++index) {
            const std::size_t server = this->nextFigure++ % this->size.backendServers;
            peers::LoadFigure* figure = heartbeat->add_loads();
            figure->set_backend_server(shortHashOf(
                "service-" + std::to_string(server % this->size.services) + "/server-" + std::to_string(server)));
            figure->set_in_flight(2);
            figure->set_age_milliseconds(100);
            figure->set_origin(shortHashOf(item.incarnation().name()));
        }
        return message;
    }

    void changeConfiguration(Node& node)
    {
        this->configuration.set_revision(this->configuration.revision() + 1);
        peers::PeerMessage push = this->messageFrom(this->overlay.ranked().front());
        *push.mutable_documents_push()->mutable_configuration() = this->configuration;
        this->receive(node, std::move(push));
    }

    void receive(Node& node, peers::PeerMessage message)
    {
        ++this->messagesReceived;
        this->bytesReceived += message.ByteSizeLong();
        this->feed(node, PeerMessageArrived{ .message = std::move(message) });
    }

    void step(Node& node)
    {
        this->feed(node, Tick{});
        if (this->now.count >= this->nextHeartbeats) {
            this->nextHeartbeats += this->size.heartbeatMilliseconds;
            for (const peers::Member& source : this->overlay.sources(this->self().incarnation().number()))
                this->receive(node, this->heartbeatFrom(source));
        }
        constexpr double secondsPerDay = 86400;
        this->changesDue += this->size.changesPerDay / secondsPerDay * TickMilliseconds / Second.count;
        while (this->changesDue >= 1) {
            this->changesDue -= 1;
            this->changeConfiguration(node);
        }
        std::vector<peers::PeerMessage> arrived;
        arrived.swap(this->inbox);
        for (peers::PeerMessage& message : arrived)
            this->receive(node, std::move(message));
    }

    Size size;
    peers::Ownership ownership;
    v1::Configuration configuration;
    Overlay overlay;
    Milliseconds now;
    std::vector<peers::PeerMessage> inbox;
    std::size_t nextFigure = 0;
    double nextHeartbeats = 0;
    double changesDue = 0;
    double fakeSeconds = 0;
    std::size_t messagesSent = 0;
    std::size_t bytesSent = 0;
    std::size_t messagesReceived = 0;
    std::size_t bytesReceived = 0;
    std::size_t storeCalls = 0;
};

}

json measureSlopes()
{
    constexpr double manyChanges = 86400; // one a second, so that its cost shows
    const std::vector<Size> sizes{
        { .members = 4, .services = 3, .backendServers = 38 },
        { .members = 16, .services = 3, .backendServers = 38 },
        { .members = 64, .services = 3, .backendServers = 38 },
        { .members = 256, .services = 3, .backendServers = 38 },
        { .members = 590, .services = 3, .backendServers = 38 },
        { .members = 18, .services = 3, .backendServers = 38 },
        { .members = 18, .services = 23, .backendServers = 150 },
        { .members = 18, .services = 23, .backendServers = 590 },
        { .members = 18, .services = 23, .backendServers = 590, .changesPerDay = manyChanges },
        { .members = 590, .services = 23, .backendServers = 590, .heartbeatMilliseconds = 1000 },
        { .members = 590,
            .services = 23,
            .backendServers = 590,
            .changesPerDay = manyChanges,
            .heartbeatMilliseconds = 1000 },
    };
    json rows = json::array();
    for (const Size& size : sizes)
        rows.push_back(SlopeRun(size).run());
    return rows;
}

}
