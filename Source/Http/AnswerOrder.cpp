#include "Http/AnswerOrder.h"

#include <algorithm>
#include <utility>

namespace burlreach {

HttpRequestNumber AnswerOrder::begin(const AnswerForm& form)
{
    this->places.push_back({ .request = ++this->last, .form = form, .response = std::nullopt });
    return this->last;
}

bool AnswerOrder::put(HttpRequestNumber request, HttpResponse response)
{
    const auto place = std::find_if(
        this->places.begin(), this->places.end(), [request](const Place& item) { return item.request == request; });
    if (place == this->places.end() || place->response)
        return false;
    place->response = std::move(response);
    return true;
}

bool AnswerOrder::hasUnanswered() const
{
    return std::any_of(this->places.begin(), this->places.end(), [](const Place& place) { return !place.response; });
}

ReadyAnswers AnswerOrder::takeReady(bool endsConnection)
{
    ReadyAnswers ready;
    while (!this->places.empty() && this->places.front().response) {
        Place place = std::move(this->places.front());
        this->places.pop_front();
        ready.isLast = this->places.empty() && (endsConnection || !place.form.keepsConnection);
        place.response->version(place.form.version);
        place.response->keep_alive(!ready.isLast);
        ready.bytes += encode(std::move(*place.response), place.form.isHead);
    }
    return ready;
}

}
