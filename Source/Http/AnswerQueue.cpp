#include "Http/AnswerQueue.h"

#include <algorithm>
#include <utility>

namespace burlreach {

HttpRequestNumber AnswerQueue::addRequest(const AnswerFormat& form)
{
    this->requests.push_back({ .request = ++this->lastNumber, .form = form, .response = std::nullopt });
    return this->lastNumber;
}

bool AnswerQueue::setAnswer(HttpRequestNumber request, HttpResponse response)
{
    const auto place = std::find_if(this->requests.begin(), this->requests.end(),
        [request](const PendingRequest& item) { return item.request == request; });
    if (place == this->requests.end() || place->response)
        return false;
    place->response = std::move(response);
    return true;
}

bool AnswerQueue::hasUnanswered() const
{
    return std::any_of(
        this->requests.begin(), this->requests.end(), [](const PendingRequest& place) { return !place.response; });
}

ReadyAnswers AnswerQueue::takeReady(bool endsConnection)
{
    ReadyAnswers ready;
    while (!this->requests.empty() && this->requests.front().response) {
        PendingRequest place = std::move(this->requests.front());
        this->requests.pop_front();
        ready.isLast = this->requests.empty() && (endsConnection || !place.form.keepsConnection);
        place.response->version(place.form.version);
        place.response->keep_alive(!ready.isLast);
        ready.bytes += encode(std::move(*place.response), place.form.isHeadRequest);
    }
    return ready;
}

}
