#include "Http/AnswerQueue.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace burlreach {

HttpRequestNumber AnswerQueue::addRequest(const AnswerFormat& form)
{
    this->requests.push_back({ .request = ++this->lastNumber, .form = form, .response = std::nullopt });
    return this->lastNumber;
}

bool AnswerQueue::setAnswer(HttpRequestNumber request, HttpResponse response)
{
    const auto pending = std::find_if(this->requests.begin(), this->requests.end(),
        [request](const PendingRequest& item) { return item.request == request; });
    if (pending == this->requests.end() || pending->response)
        return false;
    pending->response = std::move(response);
    return true;
}

std::size_t ReadyAnswers::size() const
{
    return std::accumulate(this->messages.begin(), this->messages.end(), std::size_t{},
        [](std::size_t sum, const EncodedMessage& message) { return sum + message.size(); });
}

std::size_t AnswerQueue::waitingBytes() const
{
    return std::accumulate(
        this->requests.begin(), this->requests.end(), std::size_t{}, [](std::size_t sum, const PendingRequest& item) {
            return sum + (item.response ? item.response->body().size() : 0);
        });
}

bool AnswerQueue::hasUnanswered() const
{
    return std::any_of(
        this->requests.begin(), this->requests.end(), [](const PendingRequest& pending) { return !pending.response; });
}

ReadyAnswers AnswerQueue::takeReady(bool endsConnection)
{
    ReadyAnswers ready;
    while (!this->requests.empty() && this->requests.front().response) {
        PendingRequest pending = std::move(this->requests.front());
        this->requests.pop_front();
        ready.isLast = this->requests.empty() && (endsConnection || !pending.form.keepsConnection);
        pending.response->version(pending.form.version);
        pending.response->keep_alive(!ready.isLast);
        ready.messages.push_back(encode(std::move(*pending.response), pending.form.isHeadRequest));
    }
    return ready;
}

}
