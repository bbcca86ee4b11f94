#include "Node/GossipExchange.h"

#include "Node/NewsRecords.h"
#include "Node/PeerEnvelope.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace burlreach {

namespace {

constexpr Milliseconds InForceTimeout{ 1500 };
/** How long a count of instances reported by another instance is used. */
constexpr Milliseconds ReportedCountLifetime{ 10000 };
/** After this silence, updates of another incarnation of an origin are accepted even with a lower number. */
constexpr Milliseconds OriginForgottenAfter{ 5000 };
constexpr std::size_t ContactsPerUpdate = 2;
constexpr std::uint64_t UpdatesPerContactList = 4;
constexpr std::size_t ContactsPerSearch = 3;
constexpr std::size_t RelaysPerUpdate = 4;

constexpr unsigned MaxSearchDoublings = 3;
/** Maximum random extension of a pause between searches, as a fraction of the pause. */
constexpr double SearchJitter = 0.5;

std::vector<NetworkAddress> unpack(const google::protobuf::RepeatedPtrField<std::string>& packed)
{
    std::vector<NetworkAddress> found;
    found.reserve(static_cast<std::size_t>(packed.size()));
    for (const std::string& bytes : packed) {
        if (auto address = unpackNetworkAddress(bytes))
            found.push_back(std::move(*address));
    }
    return found;
}

/** True when the member said that it reaches no server of this service. */
bool isUnreached(const peers::Member& member, std::uint32_t service)
{
    const auto& services = member.unreached_services();
    return std::find(services.begin(), services.end(), service) != services.end();
}

/** The receivers listed in a message that is sent over the tree: a gossip update, or the push that follows it. */
google::protobuf::RepeatedPtrField<std::string>& relaysOf(peers::PeerMessage& message)
{
    return message.has_push() ? *message.mutable_push()->mutable_relay_to()
                              : *message.mutable_news()->mutable_relay_to();
}

void setRelays(peers::PeerMessage& message, const std::vector<NetworkAddress>& receivers)
{
    auto& relays = relaysOf(message);
    relays.Clear();
    for (const NetworkAddress& receiver : receivers)
        relays.Add(receiver.packed());
}

}

GossipExchange::GossipExchange(Options givenOptions, Dependencies givenParts)
    : options(std::move(givenOptions))
    , dependencies(givenParts)
    , members(this->options.members)
    , contacts({ .own = addressOf(this->options.self) })
    , watcherSelection(this->options.watcherSelection)
    , pulls(this->options.pulls)
    , pullAnswers(this->options.pullAnswers)
{
    this->setSeeds(this->options.seeds);
}

void GossipExchange::setSeeds(std::vector<NetworkAddress> seeds)
{
    const NetworkAddress own = addressOf(this->options.self);
    std::erase(seeds, own);
    this->options.seeds = std::move(seeds);
    this->nextSeeds = LongAgo;
}

void GossipExchange::send(const NetworkAddress& address, peers::PeerMessage message, Actions& actions) const
{
    actions.emplace_back(makeSendToPeer(address, this->options.self.incarnation(), std::move(message)));
}

void GossipExchange::answer(const peers::Incarnation& asker, const peers::PeerMessage& message, Actions& actions) const
{
    for (const KnownMember& known : this->members.members()) {
        if (known.member.incarnation().name() == asker.name())
            this->send(addressOf(known.member), message, actions);
    }
}

void GossipExchange::receive(const peers::PeerMessage& message, Milliseconds now, Actions& actions)
{
    if (message.version() != PeerProtocolVersion) {
        this->dependencies.counters->add(DecisionCount::PeerMessagesRefused);
        return;
    }
    switch (message.body_case()) {
    case peers::PeerMessage::kHello:
        this->handleHello(message.hello(), now, actions);
        this->dependencies.crashes->receive(
            message.hello().crashes(), this->dependencies.store->isWatching(), now, actions);
        this->dependencies.signs->receive(message.hello().leaving_signs(), now);
        this->dependencies.limits->receive(message.hello().limits(), false, now, actions);
        this->dependencies.rollouts->receive(message.from(), message.hello().rollouts(), now);
        break;
    case peers::PeerMessage::kNews:
        this->handleUpdate(message, now, actions);
        // The watcher sent this to all instances, so it need not be passed on.
        this->dependencies.crashes->receive(message.news().crashes(), false, now, actions);
        this->dependencies.signs->receive(message.news().leaving_signs(), now);
        this->dependencies.limits->receive(message.news().limits(), true, now, actions);
        break;
    case peers::PeerMessage::kPull:
        this->handlePull(message, now, actions);
        break;
    case peers::PeerMessage::kPush:
        this->handlePush(message, now, actions);
        break;
    case peers::PeerMessage::kWatchers:
        this->handleWatchers(message.watchers(), now, actions);
        break;
    case peers::PeerMessage::kMembersPull: {
        peers::PeerMessage answer;
        *answer.mutable_members_push() = this->knownMembers(now);
        this->answer(message.from(), answer, actions);
        break;
    }
    case peers::PeerMessage::kMembersPush:
        this->handleMembersPush(message.members_push(), now, actions);
        break;
    default: // empty, or a kind that other classes handle
        this->dependencies.counters->add(DecisionCount::PeerMessagesRefused);
        break;
    }
}

void GossipExchange::handleHello(const peers::Hello& hello, Milliseconds now, Actions& actions)
{
    const peers::Member& member = hello.member();
    const std::string& name = member.incarnation().name();
    if (name.empty() || name == this->options.self.incarnation().name())
        return;
    const bool isNew = this->members.update(member, hello.store_revision(), now);
    const bool knowsNothing = !hello.store_revision();
    const StoreRevision own = this->dependencies.store->view().revision();
    if (isNew && knowsNothing && own)
        this->sendViewAt = std::min(this->sendViewAt, now + this->options.newInstanceInterval);
    if (!knowsNothing && !own) {
        constexpr bool canTell = true;
        this->pulls.recordMissingChanges(member, hello.store_revision(), canTell, now);
        this->pull(now, actions);
    }
    if (this->dependencies.store->isWatching()) {
        if (isNew)
            this->send(addressOf(member), this->makeUpdate(hello.store_revision(), now), actions);
        return;
    }
    peers::PeerMessage told;
    for (const peers::Member& watcher : this->watcherSelection.reportingWatchers(now))
        *told.mutable_watchers()->add_watchers() = watcher;
    if (told.has_watchers())
        this->send(addressOf(member), std::move(told), actions);
}

void GossipExchange::announceFirstView(Milliseconds now, Actions& actions)
{
    if (this->hasAnnouncedView || !this->dependencies.store->view().revision())
        return;
    this->hasAnnouncedView = true;
    // Other new instances know the seeds too, and can learn from them who has a view.
    this->sendHellosToSeeds(now, actions);
    this->sendViewToNewInstances(now, actions);
}

void GossipExchange::sendViewToNewInstances(Milliseconds now, Actions& actions)
{
    this->sendViewAt = Never;
    std::vector<KnownMember> newInstances;
    for (const KnownMember& known : this->members.members()) {
        if (!known.revision)
            newInstances.push_back(known);
    }
    if (newInstances.empty())
        return;
    peers::PeerMessage message;
    *message.mutable_push() = this->dependencies.store->fullPush();
    message.mutable_push()->set_is_unasked(true);
    actions.emplace_back(
        pushRecord("everything_told", this->options.self.incarnation(), message.push(), *this->dependencies.store)
            .with("instances", std::uint64_t{ newInstances.size() }));
    this->sendToBranches(rootBranches(newInstances, this->options.tree, now), std::move(message), actions);
    this->members.recordSentThrough(this->dependencies.store->view().revision());
}

void GossipExchange::handlePull(const peers::PeerMessage& message, Milliseconds now, Actions& actions)
{
    // Its hello, which gives its address, precedes the pull on the same connection.
    const KnownMember* asker = this->members.byName(message.from().name());
    if (!asker)
        return;
    this->pullAnswers.add(*asker, message.pull(), now);
    this->answerPulls(now, actions);
}

void GossipExchange::answerPulls(Milliseconds now, Actions& actions)
{
    for (const PullGroup& group : this->pullAnswers.takeDue(this->dependencies.store->view().revision(), now)) {
        peers::Pull pull;
        pull.set_store_revision(group.since);
        pull.set_by_themselves(group.byThemselves);
        peers::PeerMessage answer;
        *answer.mutable_push() = this->dependencies.store->pushFor(pull);
        this->dependencies.counters->add(DecisionCount::PullsAnswered, group.askers.size());
        actions.emplace_back(pushRecord(
            "changes_sent", group.askers.front().member.incarnation(), answer.push(), *this->dependencies.store)
                                 .with("instances", std::uint64_t{ group.askers.size() }));
        this->sendToBranches(rootBranches(group.askers, this->options.tree, now), std::move(answer), actions);
    }
}

void GossipExchange::handleWatchers(const peers::Watchers& message, Milliseconds now, Actions& actions)
{
    const bool wasSearching = this->watcherSelection.watchers(now).empty();
    for (const peers::Member& watcher : message.watchers())
        this->watcherSelection.recordNamedWatcher(watcher, now);
    if (wasSearching && !this->watcherSelection.watchers(now).empty())
        this->sendHellos(now, actions);
}

void GossipExchange::handleMembersPush(const peers::MembersPush& message, Milliseconds now, Actions& actions)
{
    for (const peers::KnownMember& known : message.members()) {
        const bool isSelf = known.member().incarnation().name() == this->options.self.incarnation().name();
        const Milliseconds age{ static_cast<double>(known.age_milliseconds()) };
        if (!isSelf)
            this->members.update(known.member(), known.store_revision(), now - age);
    }
    if (!this->inForceCalls.empty())
        this->answerInForce(message, now, actions);
}

bool GossipExchange::isNewer(const peers::News& news, Milliseconds now)
{
    LastNews& last = this->lastNews[news.origin().incarnation().name()];
    const std::uint64_t life = news.origin().incarnation().number();
    // An instance whose clock was set back restarts with a lower incarnation number.
    const bool isSilent = now - last.receivedAt > OriginForgottenAfter;
    const bool isEarlier = life < last.incarnation || (life == last.incarnation && news.number() <= last.number);
    if (isEarlier && !(isSilent && life != last.incarnation))
        return false;
    last = { .incarnation = life, .number = news.number(), .receivedAt = now };
    return true;
}

void GossipExchange::handlePush(const peers::PeerMessage& message, Milliseconds now, Actions& actions)
{
    const peers::Push& push = message.push();
    this->relay(message, actions);
    actions.emplace_back(pushRecord("changes_taken", message.from(), push, *this->dependencies.store)
                             .with("since_pull", (now - this->pulls.lastPullAt()).count));
    if (!push.is_unasked())
        this->pulls.recordAnswer();
    // A value was packed against a base that this instance does not hold: request it without a base.
    this->needsValuesWithoutBase = !this->dependencies.store->applyPush(push, now, actions);
    const StoreRevision reached = this->dependencies.store->view().revision();
    if (push.is_unasked())
        this->pulls.recordReceivedPush(push.store_revision(), reached, now);
    this->pulls.recordReachedRevision(reached);
    this->pull(now, actions);
    this->announceFirstView(now, actions);
}

void GossipExchange::handleUpdate(const peers::PeerMessage& message, Milliseconds now, Actions& actions)
{
    const peers::News& news = message.news();
    const peers::Incarnation& origin = news.origin().incarnation();
    if (origin.name() == this->options.self.incarnation().name() || !this->isNewer(news, now))
        return;
    this->relay(message, actions);
    const bool introduces = !this->watcherSelection.knows(origin) && this->shouldIntroduceMembers(now);
    const Milliseconds age{ static_cast<double>(news.age_milliseconds()) };
    this->watcherSelection.recordWatcherMessage(news.origin(), news.is_confirmed() ? now - age : LongAgo, now);
    for (const peers::Member& watcher : news.watchers())
        this->watcherSelection.recordNamedWatcher(watcher, now);
    if (introduces)
        this->introduceMembers(news.origin(), now, actions);
    this->members.update(news.origin(), news.store_revision(), now);
    for (const peers::Member& contact : news.contacts())
        this->contacts.learn(addressOf(contact));
    this->reportedInstances = news.member_count();
    this->instancesReportedAt = now;
    const bool isTaken = this->dependencies.store->applyUpdate(news, now, actions);
    this->pulls.recordReachedRevision(this->dependencies.store->view().revision());
    if (isTaken)
        return;
    if (news.base_revision())
        actions.emplace_back(incompleteNewsRecord(news, *this->dependencies.store, now));
    if (news.large_changes_follow())
        this->pulls.recordAnnouncedPush(news.store_revision(), now);
    this->pulls.recordMissingChanges(news.origin(), news.store_revision(), news.base_revision() != 0, now);
    this->pull(now, actions);
}

bool GossipExchange::shouldIntroduceMembers(Milliseconds now) const
{
    // If all did, then whenever all instances watch for a moment, as in a store outage, each would send its member list
    // to every other.
    return this->isLeadingWatcher(now) || this->watcherSelection.reportingWatchers(now).empty();
}

void GossipExchange::introduceMembers(const peers::Member& watcher, Milliseconds now, Actions& actions) const
{
    const auto wanted = this->watcherSelection.watchers(now);
    const bool isWanted = std::any_of(wanted.begin(), wanted.end(),
        [&](const peers::Member& item) { return item.incarnation().name() == watcher.incarnation().name(); });
    if (!isWanted)
        return;
    const auto& list = this->members.members();
    const bool knowsOthers = std::any_of(list.begin(), list.end(),
        [&](const KnownMember& known) { return !this->watcherSelection.knows(known.member.incarnation()); });
    if (!knowsOthers)
        return;
    peers::PeerMessage message;
    *message.mutable_members_push() = this->knownMembers(now);
    this->send(addressOf(watcher), std::move(message), actions);
}

void GossipExchange::relay(const peers::PeerMessage& message, Actions& actions) const
{
    const auto receivers = unpack(message.has_push() ? message.push().relay_to() : message.news().relay_to());
    if (receivers.empty())
        return;
    this->sendToBranches(splitIntoBranches(receivers, this->options.tree.mostBranches), message, actions);
}

void GossipExchange::sendToBranches(
    const std::vector<GossipBranch>& branches, peers::PeerMessage message, Actions& actions) const
{
    for (const GossipBranch& branch : branches) {
        setRelays(message, branch.relayTo);
        this->send(branch.receiver, message, actions);
    }
}

void GossipExchange::pull(Milliseconds now, Actions& actions)
{
    const auto from = this->pulls.next(now);
    if (!from)
        return;
    // The receiver learns from the hello where to send its answer.
    this->send(addressOf(*from), this->makeHello(now), actions);
    peers::PeerMessage message;
    message.mutable_pull()->set_store_revision(this->dependencies.store->view().revision());
    message.mutable_pull()->set_by_themselves(this->needsValuesWithoutBase);
    this->dependencies.counters->add(DecisionCount::PullsSent);
    actions.emplace_back(
        knowledgeRecord("changes_asked", from->incarnation().name()).with("have", message.pull().store_revision()));
    this->send(addressOf(*from), std::move(message), actions);
}

peers::PeerMessage GossipExchange::makeHello(Milliseconds now) const
{
    peers::PeerMessage message;
    peers::Hello* hello = message.mutable_hello();
    *hello->mutable_member() = this->options.self;
    hello->set_store_revision(this->dependencies.store->view().revision());
    this->dependencies.signs->fill(*hello->mutable_leaving_signs(), now);
    this->dependencies.limits->appendLimitReports(*hello->mutable_limits(), true, now);
    this->dependencies.crashes->appendOwnReports(*hello->mutable_crashes(), now);
    this->dependencies.rollouts->appendEvidence(*hello->mutable_rollouts());
    return message;
}

peers::PeerMessage GossipExchange::makeUpdate(StoreRevision since, Milliseconds now)
{
    peers::PeerMessage message;
    peers::News* news = message.mutable_news();
    *news->mutable_origin() = this->options.self;
    news->set_number(++this->newsNumber);
    this->dependencies.store->fillUpdate(*news, this->watcherSelection.isLeader(now) ? since : 0, now);
    for (const peers::Member& watcher : this->watcherSelection.reportingWatchers(now))
        *news->add_watchers() = watcher;
    news->set_member_count(static_cast<std::uint32_t>(this->instances(now)));
    this->dependencies.signs->fill(*news->mutable_leaving_signs(), now);
    this->dependencies.limits->appendLimitReports(*news->mutable_limits(), false, now);
    // Sent by all watchers, because after the loss of the leading one it takes 3 s until the next one leads.
    this->dependencies.crashes->appendAllReports(*news->mutable_crashes(), now);
    const bool includesContacts = this->newsNumber % UpdatesPerContactList == 0 && this->members.size();
    for (std::size_t count = 0; includesContacts && count < ContactsPerUpdate; ++count) {
        const std::size_t index = this->dependencies.random->below(this->members.size());
        *news->add_contacts() = this->members.members()[index].member;
    }
    this->addRelays(*news, now);
    return message;
}

void GossipExchange::setUnreachedServices(const std::vector<std::uint32_t>& services)
{
    this->options.self.mutable_unreached_services()->Assign(services.begin(), services.end());
}

void GossipExchange::addRelays(peers::News& news, Milliseconds now) const
{
    std::map<std::uint32_t, std::vector<const peers::Member*>> reaching; // by service that some instance does not reach
    const auto addServices = [&reaching](const peers::Member& member) {
        for (const std::uint32_t service : member.unreached_services())
            reaching.try_emplace(service);
    };
    addServices(this->options.self);
    for (const KnownMember& known : this->members.members())
        addServices(known.member);
    if (reaching.empty())
        return;
    for (auto& [service, relays] : reaching) {
        for (const KnownMember& known : this->members.members()) {
            if (!isUnreached(known.member, service))
                relays.push_back(&known.member);
        }
    }
    // An instance that knows only some of the others cannot tell that none of them reaches a service.
    const bool knowsAll = this->members.size() && this->members.size() + 1 >= this->instances(now);
    std::vector<std::uint32_t> reached;
    for (const auto& [service, relays] : reaching) {
        if (!relays.empty())
            reached.push_back(service);
        else if (knowsAll && isUnreached(this->options.self, service))
            news.add_unreached_services(service);
    }
    std::set<const peers::Member*> named;
    for (std::size_t count = 0; count < RelaysPerUpdate && !reached.empty(); ++count) {
        // Each service in turn, over several updates.
        const std::size_t index = (this->newsNumber * RelaysPerUpdate + count) % reached.size();
        const auto& relays = reaching[reached[index]];
        named.insert(relays[this->dependencies.random->below(relays.size())]);
    }
    for (const peers::Member* relay : named)
        *news.add_relays() = *relay;
}

void GossipExchange::broadcastUpdate(Milliseconds now, Actions& actions)
{
    this->members.tick(now);
    this->lastBroadcastAt = now;
    const peers::PeerMessage message = this->makeUpdate(this->broadcastRevision, now);
    this->broadcastRevision = this->dependencies.store->view().revision();
    const auto branches = rootBranches(this->members.members(), this->options.tree, now);
    this->sendToBranches(branches, message, actions);
    this->sendToOtherWatchers(message, now, actions);
    if (!message.news().large_changes_follow())
        return;
    peers::PeerMessage follows;
    *follows.mutable_push() = this->dependencies.store->pushAfterUpdate(message.news());
    actions.emplace_back(
        pushRecord("changes_sent", this->options.self.incarnation(), follows.push(), *this->dependencies.store));
    this->sendToBranches(branches, std::move(follows), actions);
}

void GossipExchange::sendToOtherWatchers(const peers::PeerMessage& news, Milliseconds now, Actions& actions) const
{
    const auto& list = this->members.members();
    for (const peers::Member& watcher : this->watcherSelection.watchers(now)) {
        const bool isMember = std::any_of(list.begin(), list.end(), [&](const KnownMember& known) {
            return known.member.incarnation().name() == watcher.incarnation().name();
        });
        if (!isMember)
            this->send(addressOf(watcher), news, actions);
    }
}

void GossipExchange::notifyOthers(Milliseconds now, Actions& actions)
{
    if (this->dependencies.store->isWatching())
        this->broadcastUpdate(now, actions);
    else
        this->sendHellos(now, actions);
}

Milliseconds GossipExchange::nextSearchDelay()
{
    // The random part keeps instances that start together from sending to the seeds at the same moments.
    const double doubling = std::exp2(static_cast<double>(std::min(this->failedSearches++, MaxSearchDoublings)));
    return this->options.searchInterval * doubling * (1 + SearchJitter * this->dependencies.random->unit());
}

void GossipExchange::sendHellos(Milliseconds now, Actions& actions)
{
    const std::vector<peers::Member> watchers = this->watcherSelection.watchers(now);
    const bool isSearching = watchers.empty() && !this->dependencies.store->isWatching();
    if (!isSearching)
        this->failedSearches = 0;
    this->nextHello = now + (isSearching ? this->nextSearchDelay() : this->options.helloInterval);
    for (const peers::Member& watcher : watchers)
        this->send(addressOf(watcher), this->makeHello(now), actions);
    if (watchers.empty())
        this->sendHellosToSeeds(now, actions);
}

void GossipExchange::sendHellosToSeeds(Milliseconds now, Actions& actions)
{
    this->nextSeeds = now + this->options.seedInterval;
    for (const NetworkAddress& seed : this->options.seeds) {
        this->send(seed, this->makeHello(now), actions);
        // Instances that search for a watcher ask the seeds, so the seeds must know this one.
        if (this->dependencies.store->isWatching())
            this->send(seed, this->makeUpdate(0, now), actions);
    }
    if (!this->watcherSelection.watchers(now).empty())
        return;
    for (const NetworkAddress& contact : this->contacts.some(ContactsPerSearch, *this->dependencies.random))
        this->send(contact, this->makeHello(now), actions);
}

void GossipExchange::tick(Milliseconds now, Actions& actions)
{
    if (now >= this->nextHello)
        this->sendHellos(now, actions);
    // Watchers look for other watchers that they are not connected with, such as after a network partition.
    if (now >= this->nextSeeds && this->dependencies.store->isWatching())
        this->sendHellosToSeeds(now, actions);
    if (now >= this->nextKeepAlive() && this->dependencies.store->isWatching())
        this->broadcastUpdate(now, actions);
    if (now >= this->sendViewAt)
        this->sendViewToNewInstances(now, actions);
    this->pull(now, actions);
    this->answerPulls(now, actions);
    const auto isOver = [now](const InForceCall& call) { return now >= call.deadline; };
    if (std::any_of(this->inForceCalls.begin(), this->inForceCalls.end(), isOver))
        this->answerInForce(this->knownMembers(now), now, actions);
}

Milliseconds GossipExchange::nextDue() const
{
    Milliseconds due
        = std::min({ this->nextHello, this->sendViewAt, this->pulls.nextDue(), this->pullAnswers.nextDue() });
    if (this->dependencies.store->isWatching())
        due = std::min({ due, this->nextSeeds, this->nextKeepAlive() });
    for (const InForceCall& call : this->inForceCalls)
        due = std::min(due, call.deadline);
    const bool mayStartWatching
        = !this->dependencies.store->isWatching() && this->dependencies.store->view().revision();
    return mayStartWatching ? std::min(due, this->watcherSelection.nextChange(this->dependencies.store->lastUpdateAt()))
                            : due;
}

bool GossipExchange::shouldWatch(Milliseconds now)
{
    // Before the first read there is no revision to watch from.
    return this->dependencies.store->view().revision()
        && this->watcherSelection.shouldWatch(this->dependencies.store->isWatching(),
            this->dependencies.store->lastUpdateAt(), this->instances(now), now);
}

std::size_t GossipExchange::instances(Milliseconds now) const
{
    const std::size_t known = this->members.size() + 1;
    return now - this->instancesReportedAt > ReportedCountLifetime ? known : std::max(known, this->reportedInstances);
}

void GossipExchange::requestMembers(OperatorCallNumber call, Milliseconds now, Actions& actions)
{
    this->inForceCalls.push_back({ .call = call, .deadline = now + InForceTimeout });
    const std::vector<peers::Member> watchers = this->watcherSelection.watchers(now);
    if (this->dependencies.store->isWatching() || watchers.empty())
        return this->answerInForce(this->knownMembers(now), now, actions);
    this->send(addressOf(watchers.front()), this->makeHello(now), actions);
    peers::PeerMessage message;
    message.mutable_members_pull();
    this->send(addressOf(watchers.front()), std::move(message), actions);
}

peers::MembersPush GossipExchange::knownMembers(Milliseconds now) const
{
    peers::MembersPush push;
    const auto add = [&](const peers::Member& member, StoreRevision revision, Milliseconds heardAt) {
        peers::KnownMember* known = push.add_members();
        *known->mutable_member() = member;
        known->set_store_revision(revision);
        known->set_age_milliseconds(static_cast<std::uint32_t>(std::max(0.0, (now - heardAt).count)));
    };
    add(this->options.self, this->dependencies.store->view().revision(), now);
    for (const KnownMember& known : this->members.members())
        add(known.member, known.revision, known.heardAt);
    return push;
}

void GossipExchange::answerInForce(const peers::MembersPush& known, Milliseconds now, Actions& actions)
{
    v1::ShowInForceAnswer answer;
    answer.set_store_revision(this->dependencies.store->view().revision());
    const Milliseconds age = now - this->dependencies.store->confirmedAt();
    constexpr double longest = 1e9;
    answer.set_age_milliseconds(static_cast<std::uint32_t>(std::clamp(age.count, 0.0, longest)));
    for (const peers::KnownMember& member : known.members()) {
        v1::InstanceInForce* instance = answer.add_instances();
        instance->set_instance(member.member().incarnation().name());
        instance->set_data_centre(member.member().data_centre());
        instance->set_store_revision(member.store_revision());
        instance->set_age_milliseconds(member.age_milliseconds());
    }
    for (const InForceCall& call : this->inForceCalls)
        actions.emplace_back(AnswerInForce{ .call = call.call, .answer = answer });
    this->inForceCalls.clear();
}

}
