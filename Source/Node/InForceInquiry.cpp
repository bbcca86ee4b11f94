#include "Node/InForceInquiry.h"

#include <algorithm>

namespace burlreach {

namespace {

/** Shown for instances that were never heard. */
constexpr Milliseconds LongestAge{ 3600000 };

}

InForceInquiry::InForceInquiry(Options givenOptions)
    : options(givenOptions)
{
}

void InForceInquiry::start(OperatorCallNumber call, Milliseconds now)
{
    this->questions.push_back({ .call = call, .askedAt = now });
}

std::optional<OperatorCallNumber> InForceInquiry::takeDone(
    const MemberDirectory& directory, std::string_view self, Milliseconds now)
{
    const auto isDone = [&](const Question& question) {
        if (now - question.askedAt >= this->options.bound)
            return true;
        const auto instances = directory.instances();
        return std::all_of(instances.begin(), instances.end(),
            [&](const KnownInstance& known) { return known.name == self || known.heardAt > question.askedAt; });
    };
    const auto done = std::find_if(this->questions.begin(), this->questions.end(), isDone);
    if (done == this->questions.end())
        return std::nullopt;
    const OperatorCallNumber call = done->call;
    this->questions.erase(done);
    return call;
}

v1::ShowInForceAnswer InForceInquiry::describe(
    const MemberDirectory& directory, std::string_view self, Milliseconds now) const
{
    v1::ShowInForceAnswer answer;
    for (const KnownInstance& known : directory.instances()) {
        const bool isSelf = known.name == self;
        const Milliseconds age = isSelf ? Milliseconds{} : std::min(now - known.heardAt, LongestAge);
        v1::InstanceInForce* instance = answer.add_instances();
        instance->set_instance(known.name);
        instance->set_data_centre(known.dataCentre);
        instance->set_revision(known.configurationRevision);
        instance->set_age_milliseconds(static_cast<std::uint32_t>(age.count));
        instance->set_leaving(known.saidLeaving || known.listedLeaving);
        instance->set_reached(isSelf || age < this->options.bound + this->options.bound);
    }
    return answer;
}

}
