#include "Tests/Virtual/VirtualStore.h"

#include <utility>

namespace burlreach {

VirtualStore::VirtualStore(VirtualTime& givenTime)
    : time(&givenTime)
{
}

void VirtualStore::put(StoreDocument document, std::string value)
{
    this->entry(document) = { .value = std::move(value), .index = ++this->lastIndex };
}

void VirtualStore::call(const StoreRequest& request, std::function<void(const StoreAnswer&)> answer)
{
    ++(request.operation == StoreOperation::Read ? this->reads : this->writes);
    this->time->after(this->faults.delay, [this, request, answer = std::move(answer)] {
        StoreAnswer result;
        result.number = request.number;
        if (this->faults.limited)
            result.status = StoreStatus::Refused;
        else if (!this->faults.down)
            result = this->carryOut(request);
        if (this->faults.losesAnswers)
            result = { .number = request.number, .status = StoreStatus::Unknown, .index = NoStoreIndex, .value = {} };
        this->time->after(this->faults.delay, [answer, result] { answer(result); });
    });
}

StoreAnswer VirtualStore::carryOut(const StoreRequest& request)
{
    Entry& stored = this->entry(request.document);
    StoreAnswer answer;
    answer.number = request.number;
    if (request.operation == StoreOperation::Read) {
        answer.status = stored.index ? StoreStatus::Done : StoreStatus::Missing;
        answer.index = stored.index;
        answer.value = stored.value;
        return answer;
    }
    if (request.expectedIndex != stored.index) {
        answer.status = StoreStatus::Conflict;
        return answer;
    }
    this->put(request.document, request.value);
    answer.status = StoreStatus::Done;
    answer.index = stored.index;
    if (this->changed && !this->faults.watchSilent)
        this->changed(request.document);
    return answer;
}

}
