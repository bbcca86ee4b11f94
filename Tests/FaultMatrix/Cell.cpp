#include "Tests/FaultMatrix/Cell.h"

#include "Configuration/ChangeApplier.h"
#include "Configuration/ConfigurationCodec.h"

#include <algorithm>

namespace burlreach {

namespace {

constexpr Milliseconds LoadBegins{ 3000 };
constexpr Milliseconds Armed{ 4000 };
constexpr Milliseconds FirstChangeAt{ 5000 };
constexpr Milliseconds LeavesAt{ 6000 };
constexpr Milliseconds MemberEventAt{ 6500 };
constexpr Milliseconds SecondChangeAt{ 8000 };
constexpr Milliseconds LoadEnds{ 14000 };
constexpr Milliseconds HealAt{ 28000 };
constexpr Milliseconds AskAgainAt{ 32000 };
constexpr Milliseconds EndsAt{ 48000 };

constexpr Milliseconds ShortFreeze{ 1000 };
constexpr Milliseconds LongFreeze{ 15000 };
constexpr Milliseconds CutLength{ 8000 };
constexpr Milliseconds StoreFaultLength{ 10000 };
constexpr Milliseconds BackendFaultLength{ 3000 };
constexpr Milliseconds SecondFaultAfter{ 700 };
constexpr Milliseconds RestartAfter{ 500 };
/** From the first sign until nobody sends anything new. */
constexpr Milliseconds LeavingBound{ 2000 };
constexpr Milliseconds FirstSignWithin{ 300 };
constexpr double FastClock = 1.1;
constexpr double SlowClock = 0.9;
constexpr std::size_t LeavingServer = 1;
constexpr std::size_t FaultyServer = 2;
constexpr std::size_t StoppedNode = 1;
constexpr std::size_t RestartedNode = 2;

bool needsMemberEvent(Step step)
{
    return step == Step::OwnershipRead || step == Step::OwnershipWritten || step == Step::RecordsHanded
        || step == Step::RecordsKept || step == Step::Started;
}

VirtualFleet::Options fleetOptions(const CellPlan& plan)
{
    VirtualFleet::Options options;
    options.seed = plan.seed;
    return options;
}

}

std::string CellPlan::name() const
{
    std::string name(nameOf(this->step));
    name += '/';
    name += nameOf(this->fault);
    if (this->second != Fault::None) {
        name += '+';
        name += nameOf(this->second);
    }
    return name + " seed=" + std::to_string(this->seed);
}

Cell::Cell(const CellPlan& givenPlan)
    : plan(givenPlan)
    , fleet(fleetOptions(givenPlan))
    , callers(this->fleet)
    , revisions(this->fleet.size(), 0)
    , lives(this->fleet.size(), 0)
    , disturbed(this->fleet.size(), false)
{
    this->fleet.onStep = [this](Step step, std::size_t node) { return this->reached(step, node); };
    this->fleet.onEvent = [this](std::size_t node) { this->watchRevision(node); };
}

void Cell::violation(const std::string& text)
{
    this->result.violations.push_back(text);
}

Fate Cell::fateOf(Fault fault) const
{
    switch (fault) {
    case Fault::CallLost:
        return Fate::Lost;
    case Fault::CallLate:
        return Fate::Late;
    case Fault::CallTwice:
        return Fate::Twice;
    default:
        return Fate::Goes;
    }
}

Fate Cell::reached(Step step, std::size_t node)
{
    if (!this->armed || this->struck || step != this->plan.step)
        return Fate::Goes;
    this->struck = true;
    this->strike(this->plan.fault, node);
    if (this->plan.second != Fault::None)
        this->fleet.time.after(
            SecondFaultAfter, [this, node] { this->strike(this->plan.second, (node + 1) % this->fleet.size()); });
    return this->fateOf(this->plan.fault);
}

void Cell::cutPeers(std::size_t node, bool outgoing, bool incoming, bool isCut)
{
    this->disturbed[node] = true;
    for (std::size_t other = 0; other < this->fleet.size(); ++other) {
        if (outgoing && other != node)
            this->fleet.cut(node, other, isCut);
        if (incoming && other != node)
            this->fleet.cut(other, node, isCut);
    }
}

void Cell::restart(std::size_t node, Milliseconds after)
{
    this->fleet.kill(node);
    this->fleet.time.after(after, [this, node] {
        if (!this->fleet.isAlive(node))
            this->fleet.startNode(node);
    });
}

void Cell::strike(Fault fault, std::size_t node)
{
    VirtualTime& time = this->fleet.time;
    StoreFaults& store = this->fleet.store.faults;
    BackendServerFaults& server = this->fleet.backends[FaultyServer]->faults;
    switch (fault) {
    case Fault::Kill:
        return this->fleet.kill(node);
    case Fault::KillAndRestart:
        return this->restart(node, RestartAfter);
    case Fault::ReplacedAtAddress:
        return this->restart(node, Milliseconds{ 0.001 });
    case Fault::FreezeShort:
    case Fault::FreezeLong:
        this->disturbed[node] = true;
        return this->fleet.freeze(node, fault == Fault::FreezeShort ? ShortFreeze : LongFreeze);
    case Fault::CutOutgoing:
    case Fault::CutIncoming:
    case Fault::CutBoth:
        this->cutPeers(node, fault != Fault::CutIncoming, fault != Fault::CutOutgoing, true);
        return time.after(CutLength, [this, node] { this->cutPeers(node, true, true, false); });
    case Fault::CutFromStore:
        this->fleet.cutFromStore(node, true);
        return time.after(CutLength, [this, node] { this->fleet.cutFromStore(node, false); });
    case Fault::StoreDown:
        store.down = true;
        return time.after(StoreFaultLength, [&store] { store.down = false; });
    case Fault::StoreSlow:
        store.delay = { 800 };
        return time.after(StoreFaultLength, [&store] { store.delay = { 2 }; });
    case Fault::StoreLimited:
        store.limited = true;
        return time.after(BackendFaultLength, [&store] { store.limited = false; });
    case Fault::StoreLosesAnswers:
        store.losesAnswers = true;
        return time.after(BackendFaultLength, [&store] { store.losesAnswers = false; });
    case Fault::WatchSilent:
        store.watchSilent = true;
        return time.after(LongFreeze, [&store] { store.watchSilent = false; });
    case Fault::ListLags:
        return this->restart(node, LongFreeze);
    case Fault::TwoOperators:
        this->addChange("second-operator", this->fleet.isAlive(0) ? this->fleet.revisionOf(0) : 1, 40);
        return this->ask((node + 1) % this->fleet.size(), this->changes.size() - 1);
    case Fault::ClockFast:
    case Fault::ClockSlow:
        return this->fleet.setClockRate(node, fault == Fault::ClockFast ? FastClock : SlowClock);
    case Fault::BackendServerDies:
        server.dead = true;
        return time.after(BackendFaultLength, [&server] { server.dead = false; });
    case Fault::BackendServerCuts:
        server.cutsAnswers = true;
        return time.after(BackendFaultLength, [&server] { server.cutsAnswers = false; });
    case Fault::BackendServerSheds:
        server.sheds = true;
        return time.after(BackendFaultLength, [&server] { server.sheds = false; });
    case Fault::BackendServerSlow:
        server.slowness = 10;
        return time.after(BackendFaultLength, [&server] { server.slowness = 1; });
    default:
        return;
    }
}

void Cell::addChange(const std::string& id, std::uint32_t expectedRevision, std::uint32_t percent)
{
    Change change;
    change.request.set_change_id(id);
    change.request.set_expected_revision(expectedRevision);
    change.request.mutable_set_limits()->set_service("bookings");
    change.request.mutable_set_limits()->mutable_limits()->set_retry_percent(percent);
    change.request.mutable_set_limits()->mutable_limits()->set_deadline_milliseconds(2000);
    this->changes.push_back(std::move(change));
}

void Cell::ask(std::size_t node, std::size_t change)
{
    this->fleet.change(node, this->changes[change].request,
        [this, change](const v1::ChangeAnswer& answer) { this->answered(change, answer); });
}

void Cell::answered(std::size_t change, const v1::ChangeAnswer& answer)
{
    this->changes[change].answer = answer;
    if (answer.result() != v1::CHANGE_ACCEPTED)
        return;
    // The answer says where the change is in force: everywhere but where named.
    const auto& named = answer.not_yet_in_force();
    for (std::size_t node = 0; node < this->fleet.size(); ++node) {
        const bool isNamed = std::find(named.begin(), named.end(), this->fleet.nameOf(node)) != named.end();
        if (this->fleet.isAlive(node) && !isNamed && this->fleet.revisionOf(node) < answer.revision())
            this->violation("accepted revision " + std::to_string(answer.revision()) + " is not in force on "
                + this->fleet.nameOf(node) + ", which is not named");
    }
}

void Cell::watchRevision(std::size_t node)
{
    const std::uint32_t revision = this->fleet.revisionOf(node);
    if (this->lives[node] == this->fleet.lifeOf(node) && revision < this->revisions[node])
        this->violation(this->fleet.nameOf(node) + " went back from revision " + std::to_string(this->revisions[node])
            + " to " + std::to_string(revision));
    this->lives[node] = this->fleet.lifeOf(node);
    this->revisions[node] = revision;
}

void Cell::script()
{
    VirtualTime& time = this->fleet.time;
    time.after(LoadBegins, [this] { this->callers.load(LoadEnds); });
    time.after(Armed, [this] {
        this->armed = true;
        // With silent watches instances learn from each other alone.
        if (this->plan.step == Step::DocumentsPulled || this->plan.step == Step::DocumentsPushed)
            this->fleet.store.faults.watchSilent = true;
    });
    this->addChange("first", 0, 20);
    this->addChange("second", 0, 30);
    time.after(FirstChangeAt, [this] { this->ask(0, 0); });
    time.after(SecondChangeAt, [this] { this->ask(1, 1); });
    time.after(LeavesAt, [this] {
        this->fleet.backends[LeavingServer]->leaving = true;
        this->reached(Step::BackendServerLeaving, 0);
    });
    if (needsMemberEvent(this->plan.step))
        time.after(MemberEventAt, [this] { this->restart(RestartedNode, RestartAfter); });
    if (this->plan.step == Step::StopAsked) {
        time.after(MemberEventAt, [this] {
            this->stopped = StoppedNode + 1;
            this->fleet.stop(StoppedNode);
        });
    }
    time.after(HealAt, [this] { this->heal(); });
    time.after(AskAgainAt, [this] {
        for (std::size_t change = 0; change < this->changes.size(); ++change) {
            const auto& answer = this->changes[change].answer;
            if (!answer || answer->result() == v1::CHANGE_UNKNOWN)
                this->ask(0, change);
        }
    });
}

void Cell::heal()
{
    this->fleet.store.faults = {};
    for (std::size_t node = 0; node < this->fleet.size(); ++node) {
        this->cutPeers(node, true, true, false);
        this->fleet.cutFromStore(node, false);
        if (!this->fleet.isAlive(node))
            this->fleet.startNode(node);
    }
}

CellResult Cell::run()
{
    this->fleet.start();
    this->script();
    this->fleet.runUntil(EndsAt);
    this->result.struck = this->struck;
    this->result.answered = this->callers.answered();
    this->result.refused = this->callers.refused();
    for (const auto& [id, record] : this->callers.runOnce())
        this->result.unknown += record.unknown;
    this->checkRunOnce();
    this->checkAnswers();
    this->checkConfiguration();
    this->checkLeaving();
    this->checkProbes();
    return this->result;
}

void Cell::checkRunOnce()
{
    std::map<std::string, int> runs;
    for (const auto& server : this->fleet.backends) {
        for (const auto& [id, count] : server->journal)
            runs[id] += count;
    }
    for (const auto& [id, count] : runs) {
        if (count > 1)
            this->violation(id + " ran " + std::to_string(count) + " times");
    }
    for (const auto& [id, record] : this->callers.runOnce()) {
        if (record.endedNotRun && runs.contains(id))
            this->violation(id + " was answered as not run and ran");
        if (record.answers && !runs.contains(id))
            this->violation(id + " was answered and is in no journal");
    }
}

void Cell::checkAnswers()
{
    if (this->callers.foreignAnswers())
        this->violation(std::to_string(this->callers.foreignAnswers()) + " answers went to another caller");
    if (this->callers.brokenAnswers())
        this->violation(std::to_string(this->callers.brokenAnswers()) + " broken answers were passed as whole");
    const bool isQuiet = this->plan.fault == Fault::None && this->plan.second == Fault::None;
    if (isQuiet && this->plan.step != Step::Started && !needsMemberEvent(this->plan.step) && this->callers.refused())
        this->violation(std::to_string(this->callers.refused()) + " requests were refused without a fault");
}

void Cell::checkConfiguration()
{
    const auto stored = decodeConfiguration(this->fleet.store.value(StoreDocument::Configuration));
    std::uint32_t newest = 0;
    for (const Change& change : this->changes) {
        const std::string& id = change.request.change_id();
        if (!change.answer) {
            this->violation("change " + id + " has no answer");
            continue;
        }
        const bool isStored = stored && findAppliedChange(*stored, id);
        if ((change.answer->result() == v1::CHANGE_ACCEPTED) != isStored)
            this->violation("change " + id + " was answered " + v1::ChangeResult_Name(change.answer->result())
                + " and is " + (isStored ? "stored" : "not stored"));
        if (change.answer->result() == v1::CHANGE_ACCEPTED)
            newest = std::max(newest, change.answer->revision());
    }
    for (std::size_t node = 0; node < this->fleet.size(); ++node) {
        if (this->fleet.isAlive(node) && this->fleet.revisionOf(node) < newest)
            this->violation(this->fleet.nameOf(node) + " ended at revision "
                + std::to_string(this->fleet.revisionOf(node)) + " of " + std::to_string(newest));
    }
}

void Cell::checkLeaving()
{
    const Milliseconds bound = LeavesAt + FirstSignWithin + LeavingBound;
    for (const SentTo& sent : this->fleet.sentTo[LeavingServer]) {
        if (sent.at > bound && !this->disturbed[sent.node])
            this->violation(this->fleet.nameOf(sent.node) + " sent to a leaving backend server "
                + std::to_string((sent.at - LeavesAt).count) + " ms after its first sign");
    }
}

void Cell::checkProbes()
{
    constexpr double budget = 30; // the default of a service
    constexpr double tolerance = 1e-6;
    for (auto& probes : this->fleet.probeTimes) {
        std::sort(probes.begin(), probes.end(),
            [](const ProbeTime& left, const ProbeTime& right) { return left.from < right.from; });
        for (const ProbeTime& first : probes) {
            double sum = 0;
            for (const ProbeTime& other : probes) {
                const Milliseconds windowEnd = first.from + Second;
                if (other.from >= first.from && other.from < windowEnd)
                    sum += (std::min(other.to, windowEnd) - other.from).count;
            }
            if (sum > budget + tolerance)
                return this->violation("probes took " + std::to_string(sum) + " ms of one second");
        }
    }
}

}
