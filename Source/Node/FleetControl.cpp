#include "Node/FleetControl.h"

#include "Base/Hash.h"
#include "Configuration/ConfigurationCodec.h"
#include "Exchange/MemberAddress.h"
#include "Node/ActionOutbox.h"

#include <algorithm>
#include <utility>

namespace burlreach {

namespace {

constexpr std::size_t CoordinatorCount = 3;
constexpr unsigned HeartbeatsPerIntroduction = 8;
constexpr Milliseconds PullGap{ 100 };
constexpr Milliseconds ProposalGap{ 50 };
/** News are sent at once, but not more often than this. */
constexpr Milliseconds NewsGap{ 10 };
/** Coordinators that do not act on reports for so long are asked themselves. */
constexpr Milliseconds EscalationAfter{ 3000 };
constexpr Milliseconds RecentlyHeard{ 3000 };
constexpr Milliseconds CoordinatorListPoll{ 2000 };
constexpr Milliseconds JoinerListPoll{ 5000 };
constexpr Milliseconds MemberListPoll{ 300000 };
constexpr Milliseconds MemberDocumentPoll{ 30000 };

peers::Member memberOf(const KnownInstance& known)
{
    peers::Member member;
    member.mutable_incarnation()->set_name(known.name);
    member.mutable_incarnation()->set_number(known.incarnation);
    member.set_address(known.address.host);
    member.set_port(known.address.port);
    member.set_data_centre(known.dataCentre);
    return member;
}

/** Only a whole ownership, whose slots name members that are there. */
bool isUsable(const peers::Ownership& ownership)
{
    const auto members = static_cast<std::uint32_t>(ownership.members_size());
    const auto namesMembers
        = [members](const peers::Slot& slot) { return slot.primary() <= members && slot.backup() <= members; };
    const bool isWhole = ownership.epoch() && static_cast<std::size_t>(ownership.slots_size()) == SlotCount;
    return isWhole && std::all_of(ownership.slots().begin(), ownership.slots().end(), namesMembers);
}

}

class FleetControl::Scope {
public:
    Scope(FleetControl& givenControl, Milliseconds givenNow, Outbox& givenOutbox, Actions& givenActions)
        : now(givenNow)
        , outbox(&givenOutbox)
        , actions(&givenActions)
        , control(&givenControl)
    {
        this->control->scope = this;
    }
    ~Scope() { this->control->scope = nullptr; }
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

    Milliseconds now;
    Outbox* outbox;
    Actions* actions;

private:
    FleetControl* control;
};

FleetControl::FleetControl(Options givenOptions, Parts givenParts)
    : options(std::move(givenOptions))
    , parts(givenParts)
    , currentOwnership(std::make_shared<const peers::Ownership>())
    , detector({ .heartbeatInterval = this->options.heartbeatInterval })
    , proposer({ .heartbeatInterval = this->options.heartbeatInterval }, *this, this->storeCalls, *this->parts.random)
    , ledger({ .incarnation = this->options.self.incarnation().number(), .kept = this->options.requestIdsKept })
    , claims({}, this->options.self)
    , permits({ .incarnation = this->options.self.incarnation().number() })
    , changes({ .instanceName = this->options.self.incarnation().name() }, this->configuration, *this, this->storeCalls,
          *this->parts.random)
    , inquiries({})
{
    this->directory.learn(this->options.self);
}

bool FleetControl::isMember() const
{
    return this->overlay.contains(this->options.self.incarnation().number());
}

std::size_t FleetControl::members() const
{
    const auto known = this->directory.instances();
    const auto listed = static_cast<std::size_t>(
        std::count_if(known.begin(), known.end(), [](const KnownInstance& item) { return item.listed; }));
    return std::max<std::size_t>({ 1, this->overlay.size(), listed });
}

std::string FleetControl::nameOfHash(std::uint32_t hash) const
{
    for (const KnownInstance& known : this->directory.instances()) {
        if (shortHashOf(known.name) == hash)
            return known.name;
    }
    return {};
}

void FleetControl::sendTo(const peers::Incarnation& to, peers::PeerMessage message, Outbox& outbox) const
{
    const KnownInstance* known = this->directory.find(to.name());
    if (known && known->address.port)
        outbox.sendToPeer(known->address, std::move(message));
}

const peers::ClaimAnswer* FleetControl::peerMessage(
    const peers::PeerMessage& message, Milliseconds now, Outbox& outbox, Actions& actions)
{
    const Scope active(*this, now, outbox, actions);
    const peers::Incarnation& from = message.from();
    if (message.version() != PeerProtocolVersion || !this->directory.heard(from, now)) {
        this->parts.counters->add(DecisionCount::PeerMessagesRefused);
        return nullptr;
    }
    switch (message.body_case()) {
    case peers::PeerMessage::kHeartbeat:
        this->heartbeat(message, now, outbox);
        break;
    case peers::PeerMessage::kDocumentsPull:
        this->pushDocuments(message.documents_pull(), from, outbox);
        break;
    case peers::PeerMessage::kDocumentsPush:
        this->documentsPushed(message.documents_push());
        break;
    case peers::PeerMessage::kConfigurationInForce:
        this->directory.setRevision(from.name(), message.configuration_in_force().revision());
        this->changes.inForceChanged();
        break;
    case peers::PeerMessage::kConfigurationQuery:
        this->queried(message.configuration_query(), from, now, outbox);
        break;
    case peers::PeerMessage::kClaim:
        this->ledger.claim(message.claim(), from, now, outbox);
        break;
    case peers::PeerMessage::kClaimAnswer:
        if (message.claim_answer().ownership_epoch() > this->currentOwnership->epoch())
            this->pull(from, now, outbox);
        return &message.claim_answer();
    case peers::PeerMessage::kSlotRecords:
        if (this->ledger.recordsReceived(message.slot_records(), from, now, outbox))
            this->pull(from, now, outbox);
        break;
    case peers::PeerMessage::kSlotRecordsKept:
        this->ledger.recordsKept(message.slot_records_kept(), from);
        break;
    case peers::PeerMessage::kProbePermitRequest:
        this->permits.requested(message.probe_permit_request(), from, outbox);
        break;
    case peers::PeerMessage::kProbePermit:
        this->permits.permitted(message.probe_permit(), from);
        break;
    case peers::PeerMessage::BODY_NOT_SET:
        this->parts.counters->add(DecisionCount::PeerMessagesRefused);
        break;
    }
    return nullptr;
}

void FleetControl::heartbeat(const peers::PeerMessage& message, Milliseconds now, Outbox& outbox)
{
    const peers::Heartbeat& heartbeat = message.heartbeat();
    const peers::Incarnation& from = message.from();
    if (heartbeat.has_sender() && heartbeat.sender().incarnation().number() == from.number())
        this->directory.describe(heartbeat.sender());
    this->directory.setRevision(from.name(), heartbeat.configuration_revision());
    this->changes.inForceChanged();
    if (this->parts.loads->receive(heartbeat, now))
        this->isNews = true;
    const bool knowsMore = heartbeat.configuration_revision() > this->configuration.revision()
        || heartbeat.ownership_epoch() > this->currentOwnership->epoch();
    if (knowsMore)
        this->pull(from, now, outbox);
    this->reports(heartbeat, from, now, outbox);
    if (heartbeat.answer_wanted())
        this->sendTo(from, this->newHeartbeat(now, true), outbox);
}

void FleetControl::reports(
    const peers::Heartbeat& heartbeat, const peers::Incarnation& from, Milliseconds now, Outbox& outbox)
{
    for (const peers::Incarnation& suspect : heartbeat.suspected())
        this->proposer.reportSuspected(suspect, this->view(now), now, outbox);
    for (const peers::Member& member : heartbeat.joining())
        this->proposer.reportJoining(member, now);
    for (const peers::SlotVersion& version : heartbeat.completed())
        this->proposer.reportCompleted(version);
    const bool isJoiner
        = heartbeat.has_sender() && !heartbeat.sender().leaving() && !this->overlay.contains(from.number());
    if (isJoiner)
        this->proposer.reportJoining(heartbeat.sender(), now);
}

void FleetControl::pull(const peers::Incarnation& from, Milliseconds now, Outbox& outbox)
{
    if (now - this->lastPull < PullGap)
        return;
    this->lastPull = now;
    peers::PeerMessage message;
    message.mutable_documents_pull()->set_configuration_revision(this->configuration.revision());
    message.mutable_documents_pull()->set_ownership_epoch(this->currentOwnership->epoch());
    this->sendTo(from, std::move(message), outbox);
}

void FleetControl::pushDocuments(const peers::DocumentsPull& pull, const peers::Incarnation& to, Outbox& outbox) const
{
    peers::PeerMessage message;
    peers::DocumentsPush* push = message.mutable_documents_push();
    if (this->configuration.revision() > pull.configuration_revision())
        *push->mutable_configuration() = *this->configuration.current();
    if (this->currentOwnership->epoch() > pull.ownership_epoch())
        *push->mutable_ownership() = *this->currentOwnership;
    this->sendTo(to, std::move(message), outbox);
}

void FleetControl::documentsPushed(const peers::DocumentsPush& push)
{
    if (push.has_configuration())
        this->adoptConfiguration(push.configuration());
    if (push.has_ownership())
        this->adoptOwnership(push.ownership());
}

void FleetControl::queried(
    const peers::ConfigurationQuery& query, const peers::Incarnation& from, Milliseconds now, Outbox& outbox)
{
    if (query.revision() > this->configuration.revision())
        this->pull(from, now, outbox);
    peers::PeerMessage message;
    message.mutable_configuration_in_force()->set_revision(this->configuration.revision());
    this->sendTo(from, std::move(message), outbox);
}

void FleetControl::adoptConfiguration(const v1::Configuration& next)
{
    if (!this->configuration.adopt(next))
        return;
    this->parts.counters->add(DecisionCount::ConfigurationsAdopted);
    ++this->adoptionCount;
    this->isNews = true;
    this->directory.setRevision(this->options.self.incarnation().name(), next.revision());
    this->configureServices();
    if (next.recent_changes().empty())
        return;
    const v1::AppliedChange& change = next.recent_changes(next.recent_changes_size() - 1);
    peers::PeerMessage message;
    message.mutable_configuration_in_force()->set_revision(next.revision());
    peers::Incarnation asked;
    asked.set_name(change.accepted_by());
    if (change.accepted_by() != this->options.self.incarnation().name())
        this->sendTo(asked, std::move(message), *this->scope->outbox);
}

void FleetControl::configureServices()
{
    if (this->configuration.current())
        this->parts.services->configure(*this->configuration.current(), this->members());
}

void FleetControl::adoptOwnership(const peers::Ownership& next)
{
    if (!isUsable(next) || next.epoch() <= this->currentOwnership->epoch())
        return;
    this->parts.counters->add(DecisionCount::OwnershipsAdopted);
    this->currentOwnership = std::make_shared<const peers::Ownership>(next);
    this->overlay = Overlay(next);
    for (const peers::Member& member : next.members())
        this->directory.learn(member);
    const Milliseconds now = this->scope->now;
    this->detector.setSources(this->overlay.sources(this->options.self.incarnation().number()), now);
    this->proposer.ownershipChanged(next, now);
    this->ledger.adopt(this->currentOwnership, now, *this->scope->outbox);
    this->claims.adopt(this->currentOwnership, now, *this->scope->outbox);
    this->permits.adopt(this->currentOwnership, now);
    this->configureServices();
    this->isNews = true;
}

void FleetControl::storeAnswered(const StoreAnswer& answer, Milliseconds now, Outbox& outbox, Actions& actions)
{
    const Scope active(*this, now, outbox, actions);
    if (!this->changes.storeAnswered(answer, now, outbox))
        this->proposer.storeAnswered(answer, this->view(now), now, outbox);
}

void FleetControl::documentSeen(const StoreDocumentSeen& event, Milliseconds now, Outbox& outbox, Actions& actions)
{
    const Scope active(*this, now, outbox, actions);
    if (event.document == StoreDocument::Configuration) {
        if (const auto seen = decodeConfiguration(event.value))
            this->adoptConfiguration(*seen);
        return;
    }
    peers::Ownership seen;
    if (seen.ParseFromString(event.value))
        this->adoptOwnership(seen);
}

void FleetControl::listSeen(const InstanceList& list)
{
    const std::size_t before = this->members();
    if (this->directory.update(list) && this->members() != before)
        this->configureServices();
}

void FleetControl::changeAsked(const ChangeAsked& event, Milliseconds now, Outbox& outbox, Actions& actions)
{
    const Scope active(*this, now, outbox, actions);
    this->changes.start(event.call, event.request, now, outbox);
}

void FleetControl::inForceAsked(const InForceAsked& event, Milliseconds now, Outbox& outbox, Actions& actions)
{
    const Scope active(*this, now, outbox, actions);
    this->inquiries.start(event.call, now);
    for (const KnownInstance& known : this->directory.instances()) {
        if (known.name != this->options.self.incarnation().name())
            this->queryInForce(known.name, 0);
    }
}

void FleetControl::stopAsked()
{
    this->isStopping = true;
    this->options.self.set_leaving(true);
    this->isNews = true;
}

bool FleetControl::handedOver() const
{
    const bool isAlone = this->overlay.size() <= 1;
    return !this->isMember() || isAlone;
}

void FleetControl::configurationCommitted(const v1::Configuration& committed)
{
    this->adoptConfiguration(committed);
}

void FleetControl::changeAnswered(OperatorCallNumber call, const v1::ChangeAnswer& answer)
{
    this->scope->actions->emplace_back(AnswerChange{ .call = call, .answer = answer });
}

std::vector<std::string> FleetControl::instancesBelow(std::uint32_t revision) const
{
    std::vector<std::string> found;
    for (const KnownInstance& known : this->directory.instances()) {
        const bool isThere = known.listed || this->scope->now - known.heardAt < RecentlyHeard
            || this->overlay.contains(known.incarnation);
        const bool isSelf = known.name == this->options.self.incarnation().name();
        if (isThere && !isSelf && known.configurationRevision < revision)
            found.push_back(known.name);
    }
    return found;
}

void FleetControl::queryInForce(const std::string& instance, std::uint32_t revision)
{
    peers::PeerMessage message;
    message.mutable_configuration_query()->set_revision(revision);
    peers::Incarnation to;
    to.set_name(instance);
    this->sendTo(to, std::move(message), *this->scope->outbox);
}

void FleetControl::ownershipRead(const peers::Ownership& read)
{
    this->adoptOwnership(read);
}

std::vector<peers::Member> FleetControl::listedMembers() const
{
    peers::Ownership listed;
    const std::string& ownName = this->options.self.incarnation().name();
    for (const KnownInstance& known : this->directory.instances()) {
        const bool isLeaving = known.listedLeaving || known.saidLeaving;
        if (known.name != ownName && !isLeaving && known.address.port)
            *listed.add_members() = memberOf(known);
    }
    *listed.add_members() = this->options.self;
    const Overlay order(listed);
    return { order.ranked().begin(), order.ranked().end() };
}

std::vector<peers::Member> FleetControl::firstCoordinators(std::size_t count, Milliseconds now) const
{
    std::vector<peers::Member> found;
    for (const peers::Member& member : this->overlay.ranked()) {
        const std::uint64_t number = member.incarnation().number();
        const bool isOut = member.leaving() || this->directory.isGone(number)
            || this->proposer.isUnreachable(number, this->directory, now);
        if (!isOut)
            found.push_back(member);
        if (found.size() == count)
            return found;
    }
    if (!found.empty())
        return found;
    // With nobody left of the known fleet, those that are there now begin anew.
    found = this->listedMembers();
    found.resize(std::min(found.size(), count));
    return found;
}

OwnershipView FleetControl::view(Milliseconds now) const
{
    OwnershipView view;
    view.ownership = this->currentOwnership.get();
    view.directory = &this->directory;
    view.self = this->options.self;
    const std::vector<peers::Member> first = this->firstCoordinators(CoordinatorCount, now);
    for (std::size_t index = 0; index < first.size(); ++index) {
        if (first[index].incarnation().name() == this->options.self.incarnation().name())
            view.rank = index;
    }
    return view;
}

PlatformPlan FleetControl::platformPlan() const
{
    PlatformPlan plan;
    const auto ranked = this->overlay.ranked();
    const auto first = ranked.first(std::min(ranked.size(), CoordinatorCount));
    const bool isCoordinator = std::any_of(first.begin(), first.end(), [this](const peers::Member& member) {
        return member.incarnation().number() == this->options.self.incarnation().number();
    });
    const bool isSettled = this->isMember() && this->configuration.revision();
    plan.watchesDocuments = isCoordinator || !isSettled;
    plan.documentPoll = MemberDocumentPoll;
    plan.listPoll = isSettled ? MemberListPoll : JoinerListPoll;
    if (isCoordinator || !this->currentOwnership->epoch())
        plan.listPoll = CoordinatorListPoll;
    return plan;
}

peers::PeerMessage FleetControl::newHeartbeat(Milliseconds, bool introduces) const
{
    peers::PeerMessage message;
    peers::Heartbeat* heartbeat = message.mutable_heartbeat();
    heartbeat->set_configuration_revision(this->configuration.revision());
    heartbeat->set_ownership_epoch(this->currentOwnership->epoch());
    if (introduces || this->isStopping || !this->isMember())
        *heartbeat->mutable_sender() = this->options.self;
    return message;
}

void FleetControl::sendHeartbeats(Milliseconds now, Outbox& outbox)
{
    const bool isDue = now >= this->nextHeartbeat;
    const bool isUrgent = this->isNews && now - this->lastHeartbeat >= NewsGap;
    if (!isDue && !isUrgent)
        return;
    this->isNews = false;
    this->lastHeartbeat = now;
    this->nextHeartbeat = now + this->options.heartbeatInterval;
    // A new life at a target's address may know nobody and read no list.
    const bool introduces = this->heartbeatCount++ % HeartbeatsPerIntroduction == 0;
    for (const peers::Member& target : this->overlay.targets(this->options.self.incarnation().number())) {
        peers::PeerMessage message = this->newHeartbeat(now, introduces);
        this->parts.loads->fill(*message.mutable_heartbeat(), now);
        outbox.sendToPeer(addressOf(target), std::move(message));
    }
    this->sendReports(now, outbox);
}

void FleetControl::sendReports(Milliseconds now, Outbox& outbox)
{
    const auto suspected = this->detector.suspected(this->directory, now);
    const auto completed = this->ledger.completedSlots();
    const bool isOutside = !this->isMember() && !this->isStopping;
    const bool hasReports
        = !suspected.empty() || !completed.empty() || isOutside || (this->isStopping && this->isMember());
    if (!hasReports) {
        this->reportsSince = Never;
        return;
    }
    this->reportsSince = std::min(this->reportsSince, now);
    this->escalate(now, outbox);
    this->reportToSelf(suspected, completed, now, outbox);
    for (const peers::Member& coordinator : this->firstCoordinators(CoordinatorCount, now)) {
        if (coordinator.incarnation().name() == this->options.self.incarnation().name())
            continue;
        peers::PeerMessage message = this->newHeartbeat(now, true);
        peers::Heartbeat* heartbeat = message.mutable_heartbeat();
        heartbeat->set_answer_wanted(isOutside);
        for (const peers::Incarnation& suspect : suspected)
            *heartbeat->add_suspected() = suspect;
        for (const peers::SlotVersion& version : completed)
            *heartbeat->add_completed() = version;
        outbox.sendToPeer(addressOf(coordinator), std::move(message));
    }
}

void FleetControl::reportToSelf(const std::vector<peers::Incarnation>& suspected,
    const std::vector<peers::SlotVersion>& completed, Milliseconds now, Outbox& outbox)
{
    for (const peers::Incarnation& suspect : suspected)
        this->proposer.reportSuspected(suspect, this->view(now), now, outbox);
    for (const peers::SlotVersion& version : completed)
        this->proposer.reportCompleted(version);
}

void FleetControl::escalate(Milliseconds now, Outbox& outbox)
{
    if (now - this->reportsSince < EscalationAfter)
        return;
    this->reportsSince = now;
    const std::size_t asked = this->isMember() ? CoordinatorCount : this->overlay.size();
    for (const peers::Member& member : this->firstCoordinators(asked, now)) {
        if (member.incarnation().name() != this->options.self.incarnation().name())
            this->proposer.reportSuspected(member.incarnation(), this->view(now), now, outbox);
    }
}

void FleetControl::tick(Milliseconds now, Outbox& outbox, Actions& actions)
{
    const Scope active(*this, now, outbox, actions);
    this->detector.tick(now);
    this->sendHeartbeats(now, outbox);
    this->changes.tick(now, outbox);
    if (now >= this->nextProposal) {
        this->nextProposal = now + ProposalGap;
        this->proposer.tick(this->view(now), now, outbox);
    }
    this->ledger.tick(now, outbox);
    this->claims.tick(now, outbox);
    this->permits.tick(now, outbox);
    const std::string& ownName = this->options.self.incarnation().name();
    while (const auto call = this->inquiries.takeDone(this->directory, ownName, now)) {
        v1::ShowInForceAnswer answer = this->inquiries.describe(this->directory, ownName, now);
        answer.set_ownership_epoch(this->currentOwnership->epoch());
        actions.emplace_back(AnswerInForce{ .call = *call, .answer = std::move(answer) });
    }
}

}
