#include "Configuration/ChangeCoordinator.h"

#include "Configuration/ChangeApplier.h"
#include "Configuration/ConfigurationCodec.h"

#include <algorithm>
#include <utility>

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

ChangeCoordinator::ChangeCoordinator(
    Options givenOptions, ChangeListener& givenListener, StoreCallNumbers& givenNumbers, Random& givenRandom)
    : options(std::move(givenOptions))
    , listener(&givenListener)
    , numbers(&givenNumbers)
    , random(&givenRandom)
    , backoff({})
{
}

void ChangeCoordinator::start(OperatorCallNumber call, const v1::ChangeRequest& request, Milliseconds now)
{
    if (this->options.key.empty())
        return this->listener->changeAnswered(call,
            refusal(v1::CHANGE_REFUSED, 0, "/change",
                "in this deployment operators write to the store directly; make the change there"));
    Commit change;
    change.call = call;
    change.request = request;
    change.deadline = now + this->options.commitTimeout;
    this->waiting.push_back(std::move(change));
}

std::optional<StoreRequest> ChangeCoordinator::next(Milliseconds now)
{
    if (!this->commit && !this->waiting.empty()) {
        this->commit = std::move(this->waiting.front());
        this->waiting.pop_front();
        this->backoff.reset();
    }
    if (!this->commit)
        return std::nullopt;
    if (this->commit->phase == Phase::Pausing && now >= this->commit->nextStep) {
        if (now >= this->commit->deadline) {
            this->giveUp();
            return this->next(now);
        }
        this->read();
    }
    return std::exchange(this->commit->toSend, std::nullopt);
}

Milliseconds ChangeCoordinator::nextDue() const
{
    if (!this->commit)
        return this->waiting.empty() ? Never : LongAgo;
    return this->commit->phase == Phase::Pausing ? this->commit->nextStep : Never;
}

void ChangeCoordinator::prepareCall(StoreRequest request, Phase phase)
{
    request.number = this->numbers->next();
    request.key = this->options.key;
    request.timeout = this->options.storeAnswerTimeout;
    this->commit->phase = phase;
    this->commit->storeCall = request.number;
    this->commit->toSend = std::move(request);
}

void ChangeCoordinator::read()
{
    StoreRequest request;
    request.operation = StoreOperation::ReadRange;
    this->prepareCall(std::move(request), Phase::Reading);
}

bool ChangeCoordinator::answered(const StoreAnswer& answer, Milliseconds now)
{
    if (!this->commit || this->commit->storeCall != answer.number)
        return false;
    this->commit->storeCall = 0;
    if (this->commit->phase == Phase::Reading)
        this->readAnswered(answer, now);
    else
        this->writeAnswered(answer, now);
    return true;
}

void ChangeCoordinator::readAnswered(const StoreAnswer& answer, Milliseconds now)
{
    if (answer.status != StoreStatus::Done)
        return this->pause(now);
    const auto item = std::find_if(answer.items.begin(), answer.items.end(),
        [this](const StoreItem& candidate) { return candidate.key == this->options.key; });
    if (item == answer.items.end())
        return this->evaluate({}, 0);
    if (const auto stored = decodeConfiguration(item->value))
        return this->evaluate(*stored, item->revision);
    this->finish(refusal(v1::CHANGE_REFUSED, 0, "/",
        "the stored configuration cannot be read; restore its key in the store from a backup"));
}

void ChangeCoordinator::evaluate(const v1::Configuration& base, StoreRevision storedAt)
{
    const v1::ChangeRequest& request = this->commit->request;
    if (const v1::AppliedChange* applied = findAppliedChange(base, request.change_id()))
        return this->accept(applied->revision());
    if (request.expected_revision() && request.expected_revision() != base.revision())
        return this->finish(refusal(v1::CHANGE_CONFLICT, base.revision(), "/expected_revision",
            "the revision is " + std::to_string(base.revision())
                + "; read the configuration again and check whether the change is still wanted"));
    ChangeApplier applier;
    const ChangedConfiguration changed = applier.apply(request, base, this->options.instanceName);
    if (!changed.findings.empty())
        return this->finish(refusal(changed.findings, base.revision()));
    this->write(changed.configuration, storedAt);
}

void ChangeCoordinator::write(const v1::Configuration& configuration, StoreRevision expected)
{
    StoreRequest request;
    request.operation = StoreOperation::Write;
    request.value = encodeConfiguration(configuration);
    request.expected = expected;
    this->commit->writtenRevision = configuration.revision();
    this->commit->writtenValue = request.value;
    this->prepareCall(std::move(request), Phase::Writing);
}

void ChangeCoordinator::writeAnswered(const StoreAnswer& answer, Milliseconds now)
{
    if (answer.status == StoreStatus::Done) {
        this->written = StoreItem{ .key = this->options.key,
            .value = std::move(this->commit->writtenValue),
            .revision = answer.at,
            .removed = false };
        return this->accept(this->commit->writtenRevision);
    }
    if (answer.status == StoreStatus::Unknown)
        this->commit->isWriteUncertain = true;
    this->pause(now);
}

void ChangeCoordinator::pause(Milliseconds now)
{
    this->commit->phase = Phase::Pausing;
    this->commit->nextStep = now + this->backoff.next(*this->random);
}

void ChangeCoordinator::accept(std::uint32_t revision)
{
    v1::ChangeAnswer answer;
    answer.set_result(v1::CHANGE_ACCEPTED);
    answer.set_revision(revision);
    this->finish(answer);
}

void ChangeCoordinator::finish(const v1::ChangeAnswer& answer)
{
    const OperatorCallNumber call = this->commit->call;
    this->commit.reset();
    this->listener->changeAnswered(call, answer);
}

void ChangeCoordinator::giveUp()
{
    if (this->commit->isWriteUncertain)
        return this->finish(refusal(v1::CHANGE_UNKNOWN, 0, "/",
            "the store did not answer; the change may still take effect; send it again with the same change_id"));
    this->finish(
        refusal(v1::CHANGE_REFUSED, 0, "/", "the store cannot be reached; nothing was changed; try again later"));
}

}
