#include "Program/DecisionLog.h"

#include <array>
#include <string>

namespace burlreach {

namespace {

constexpr LineBudget::Options RequestLines{ .perSecond = 12, .burst = 40 };
constexpr LineBudget::Options RefusalLines{ .perSecond = 40, .burst = 200 };
constexpr LineBudget::Options BeliefLines{ .perSecond = 50, .burst = 400 };

std::string fieldsOf(const DecisionRecord& record)
{
    std::string fields = "\"id\":";
    appendJsonText(fields, record.subject);
    for (const RecordField& field : record.fields) {
        fields += ',';
        appendJsonText(fields, field.name);
        fields += ':';
        if (field.isNumber)
            fields += field.value;
        else
            appendJsonText(fields, field.value);
    }
    return fields;
}

}

DecisionLog::DecisionLog(const Clock& givenClock)
    : clock(&givenClock)
    , requests{ .log = Logger("requests"), .severity = Severity::Info, .budget = LineBudget(RequestLines) }
    , refusals{ .log = Logger("requests"), .severity = Severity::Warning, .budget = LineBudget(RefusalLines) }
    , beliefs{ .log = Logger("knowledge"), .severity = Severity::Info, .budget = LineBudget(BeliefLines) }
{
}

DecisionLog::Channel& DecisionLog::channelOf(RecordTopic topic)
{
    switch (topic) {
    case RecordTopic::Request:
        return this->requests;
    case RecordTopic::Refusal:
        return this->refusals;
    case RecordTopic::Knowledge:
        break;
    }
    return this->beliefs;
}

void DecisionLog::write(const DecisionRecord& record)
{
    const std::lock_guard lock(this->mutex);
    Channel& channel = this->channelOf(record.topic);
    if (channel.budget.take(this->clock->now()))
        channel.log.write(channel.severity, record.event, fieldsOf(record));
}

void DecisionLog::tellLeftOut()
{
    const std::lock_guard lock(this->mutex);
    for (Channel* channel : std::array<Channel*, 3>{ &this->requests, &this->refusals, &this->beliefs }) {
        const std::uint64_t leftOut = channel->budget.takeLeftOut();
        if (leftOut)
            channel->log.write(Severity::Warning, "lines_left_out",
                "\"severity_of_lines\":" + std::to_string(static_cast<int>(channel->severity))
                    + ",\"count\":" + std::to_string(leftOut));
    }
}

}
