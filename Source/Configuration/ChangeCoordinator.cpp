#include "Configuration/ChangeCoordinator.h"

#include "Configuration/ChangeApplier.h"
#include "Configuration/ConfigurationCodec.h"

#include <algorithm>

namespace burlreach {

namespace {

v1::ChangeAnswer refusal(
    v1::ChangeResult result, std::uint32_t revision, std::string_view place, std::string_view message)
{
    v1::ChangeAnswer answer;
    answer.set_result(result);
    answer.set_revision(revision);
    v1::Finding* finding = answer.add_findings();
    finding->set_place(std::string(place));
    finding->set_message(std::string(message));
    return answer;
}

v1::ChangeAnswer refusal(const Findings& findings, std::uint32_t revision)
{
    v1::ChangeAnswer answer;
    answer.set_result(v1::CHANGE_REFUSED);
    answer.set_revision(revision);
    for (const Finding& item : findings.all()) {
        v1::Finding* finding = answer.add_findings();
        finding->set_place(item.place);
        finding->set_message(item.message);
    }
    return answer;
}

}

ChangeCoordinator::ChangeCoordinator(Options givenOptions, const ConfigurationState& givenState,
    ChangeListener& givenListener, StoreCallNumbers& givenNumbers, Random& givenRandom)
    : options(std::move(givenOptions))
    , state(&givenState)
    , listener(&givenListener)
    , numbers(&givenNumbers)
    , random(&givenRandom)
    , backoff({})
{
}

void ChangeCoordinator::start(
    OperatorCallNumber call, const v1::ChangeRequest& request, Milliseconds now, Outbox& outbox)
{
    Commit change;
    change.call = call;
    change.request = request;
    change.giveUp = now + this->options.commitTimeout;
    this->waiting.push_back(std::move(change));
    this->startNext(now, outbox);
}

void ChangeCoordinator::startNext(Milliseconds now, Outbox& outbox)
{
    if (this->commit || this->waiting.empty())
        return;
    this->commit = std::move(this->waiting.front());
    this->waiting.pop_front();
    this->backoff.reset();
    this->read(now, outbox);
}

void ChangeCoordinator::read(Milliseconds now, Outbox& outbox)
{
    this->commit->phase = Phase::Reading;
    this->commit->nextStep = now + this->options.storeAnswerTimeout;
    this->commit->storeCall = this->numbers->next();
    outbox.askStore({ .number = this->commit->storeCall,
        .operation = StoreOperation::Read,
        .document = StoreDocument::Configuration,
        .value = {},
        .expectedIndex = NoStoreIndex });
}

bool ChangeCoordinator::storeAnswered(const StoreAnswer& answer, Milliseconds now, Outbox& outbox)
{
    if (!this->commit || this->commit->storeCall != answer.number)
        return false;
    this->commit->storeCall = 0;
    if (this->commit->phase == Phase::Reading)
        this->readAnswered(answer, now, outbox);
    else
        this->writeAnswered(answer, now);
    this->tickSpreading(now);
    this->startNext(now, outbox);
    return true;
}

void ChangeCoordinator::readAnswered(const StoreAnswer& answer, Milliseconds now, Outbox& outbox)
{
    if (answer.status == StoreStatus::Missing)
        return this->decide({}, NoStoreIndex, now, outbox);
    if (answer.status != StoreStatus::Done)
        return this->pause(now);
    auto stored = decodeConfiguration(answer.value);
    if (stored)
        return this->decide(std::move(*stored), answer.index, now, outbox);
    this->finish(refusal(v1::CHANGE_REFUSED, this->state->revision(), "/",
        "the stored configuration cannot be read; restore the key in the platform's service from a copy"));
}

void ChangeCoordinator::decide(v1::Configuration base, std::uint64_t index, Milliseconds now, Outbox& outbox)
{
    const v1::ChangeRequest& request = this->commit->request;
    if (const v1::AppliedChange* applied = findAppliedChange(base, request.change_id()))
        return this->committed(base, applied->revision(), now);
    // A store that went back to an older document is healed by the next change.
    if (this->state->revision() > base.revision())
        base = *this->state->current();
    if (request.expected_revision() && request.expected_revision() != base.revision())
        return this->finish(refusal(v1::CHANGE_CONFLICT, base.revision(), "/expected_revision",
            "the revision is " + std::to_string(base.revision()) + "; read it again and decide anew"));
    ChangeApplier applier;
    const ChangedConfiguration changed = applier.apply(request, base, this->options.instanceName);
    if (!changed.findings.empty())
        return this->finish(refusal(changed.findings, base.revision()));
    this->write(changed.configuration, index, now, outbox);
}

void ChangeCoordinator::write(
    const v1::Configuration& configuration, std::uint64_t index, Milliseconds now, Outbox& outbox)
{
    this->commit->phase = Phase::Writing;
    this->commit->nextStep = now + this->options.storeAnswerTimeout;
    this->commit->storeCall = this->numbers->next();
    this->commit->written = configuration;
    outbox.askStore({ .number = this->commit->storeCall,
        .operation = StoreOperation::Write,
        .document = StoreDocument::Configuration,
        .value = encodeConfiguration(configuration),
        .expectedIndex = index });
}

void ChangeCoordinator::writeAnswered(const StoreAnswer& answer, Milliseconds now)
{
    if (answer.status == StoreStatus::Done)
        return this->committed(this->commit->written, this->commit->written.revision(), now);
    if (answer.status == StoreStatus::Unknown)
        this->commit->writeUncertain = true;
    this->pause(now);
}

void ChangeCoordinator::pause(Milliseconds now)
{
    this->commit->phase = Phase::Pausing;
    this->commit->nextStep = now + this->backoff.next(*this->random);
}

void ChangeCoordinator::committed(v1::Configuration configuration, std::uint32_t revision, Milliseconds now)
{
    Spreading spread;
    spread.call = this->commit->call;
    spread.revision = revision;
    spread.nextQuery = now + this->options.queryInterval;
    spread.giveUp = now + this->options.inForceTimeout;
    this->spreading.push_back(spread);
    const v1::Configuration kept = std::move(configuration);
    this->commit.reset();
    this->listener->configurationCommitted(kept);
}

void ChangeCoordinator::finish(const v1::ChangeAnswer& answer)
{
    const OperatorCallNumber call = this->commit->call;
    this->commit.reset();
    this->listener->changeAnswered(call, answer);
}

void ChangeCoordinator::giveUpCommit()
{
    const std::uint32_t revision = this->state->revision();
    if (this->commit->writeUncertain)
        return this->finish(refusal(v1::CHANGE_UNKNOWN, revision, "/",
            "the platform's service gave no answer; the change may take effect; ask again with the same change_id"));
    this->finish(refusal(v1::CHANGE_REFUSED, revision, "/",
        "the platform's service cannot be reached; nothing was changed; ask again later"));
}

void ChangeCoordinator::inForceChanged()
{
    const auto isDone = [this](const Spreading& spread) {
        if (!this->listener->instancesBelow(spread.revision).empty())
            return false;
        this->answerSpread(spread, {});
        return true;
    };
    std::erase_if(this->spreading, isDone);
}

void ChangeCoordinator::tick(Milliseconds now, Outbox& outbox)
{
    this->tickCommit(now, outbox);
    this->tickSpreading(now);
    this->startNext(now, outbox);
}

void ChangeCoordinator::tickCommit(Milliseconds now, Outbox& outbox)
{
    if (!this->commit || now < this->commit->nextStep)
        return;
    if (this->commit->phase == Phase::Writing)
        this->commit->writeUncertain = true;
    this->commit->storeCall = 0;
    if (now >= this->commit->giveUp)
        return this->giveUpCommit();
    this->read(now, outbox);
}

void ChangeCoordinator::tickSpreading(Milliseconds now)
{
    const auto isDone = [this, now](Spreading& spread) {
        const std::vector<std::string> missing = this->listener->instancesBelow(spread.revision);
        if (missing.empty() || now >= spread.giveUp) {
            this->answerSpread(spread, missing);
            return true;
        }
        if (now < spread.nextQuery)
            return false;
        spread.nextQuery = now + this->options.queryInterval;
        for (const std::string& instance : missing)
            this->listener->queryInForce(instance, spread.revision);
        return false;
    };
    std::erase_if(this->spreading, isDone);
}

void ChangeCoordinator::answerSpread(const Spreading& spread, const std::vector<std::string>& missing)
{
    v1::ChangeAnswer answer;
    answer.set_result(v1::CHANGE_ACCEPTED);
    answer.set_revision(spread.revision);
    for (const std::string& instance : missing)
        answer.add_not_yet_in_force(instance);
    this->listener->changeAnswered(spread.call, answer);
}

}
