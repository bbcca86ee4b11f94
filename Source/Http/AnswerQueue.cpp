#include "Http/AnswerQueue.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <numeric>
#include <utility>

namespace burlreach {

HttpRequestNumber AnswerQueue::addRequest(const AnswerFormat& form)
{
    this->requests.push_back({ .request = ++this->lastNumber, .form = form, .response = std::nullopt });
    return this->lastNumber;
}

AnswerQueue::PendingRequest* AnswerQueue::find(HttpRequestNumber request)
{
    const auto pending = std::find_if(this->requests.begin(), this->requests.end(),
        [request](const PendingRequest& item) { return item.request == request; });
    return pending == this->requests.end() ? nullptr : &*pending;
}

bool AnswerQueue::setAnswer(HttpRequestNumber request, HttpResponse response)
{
    PendingRequest* const pending = this->find(request);
    if (!pending || pending->response)
        return false;
    pending->response = std::move(response);
    return true;
}

bool AnswerQueue::beginAnswer(HttpRequestNumber request, HttpResponse header, std::optional<std::uint64_t> length)
{
    if (!this->setAnswer(request, std::move(header)))
        return false;
    this->find(request)->begun = BegunAnswer{ .length = length };
    return true;
}

void AnswerQueue::addBody(HttpRequestNumber request, HttpBody piece)
{
    PendingRequest* const pending = this->find(request);
    if (!pending || !pending->begun)
        return;
    HttpBody& body = pending->response->body();
    if (!body.size()) {
        body = std::move(piece);
        return;
    }
    body.commit(boost::asio::buffer_copy(body.prepare(piece.size()), piece.data()));
}

void AnswerQueue::endAnswer(HttpRequestNumber request)
{
    PendingRequest* const pending = this->find(request);
    if (pending && pending->begun)
        pending->begun->isWhole = true;
}

bool AnswerQueue::withdrawAnswer(HttpRequestNumber request)
{
    PendingRequest* const pending = this->find(request);
    if (!pending || !pending->begun || pending->begun->isHeaderTaken)
        return false;
    pending->begun.reset();
    pending->response.reset();
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
    return std::any_of(this->requests.begin(), this->requests.end(),
        [](const PendingRequest& pending) { return !pending.hasWholeAnswer(); });
}

ReadyAnswers AnswerQueue::takeReady(bool endsConnection)
{
    ReadyAnswers ready;
    while (!this->requests.empty() && this->requests.front().response) {
        const bool isNewest = this->requests.size() == 1;
        PendingRequest& first = this->requests.front();
        const bool isLast = isNewest && (endsConnection || !first.form.keepsConnection);
        if (first.begun)
            takeBegun(first, isLast, ready.messages);
        if (!first.hasWholeAnswer())
            return ready;
        PendingRequest pending = std::move(first);
        this->requests.pop_front();
        ready.isLast = isLast;
        if (pending.begun)
            continue;
        pending.response->version(pending.form.version);
        pending.response->keep_alive(!isLast);
        ready.messages.push_back(encode(std::move(*pending.response), pending.form.isHeadRequest));
    }
    return ready;
}

void AnswerQueue::takeBegun(PendingRequest& pending, bool endsConnection, std::vector<EncodedMessage>& messages)
{
    HttpBody piece = std::exchange(pending.response->body(), {});
    BegunAnswer& begun = *pending.begun;
    if (!std::exchange(begun.isHeaderTaken, true)) {
        pending.response->version(pending.form.version);
        pending.response->keep_alive(!endsConnection);
        messages.push_back(encodeBegin(std::move(*pending.response), begun.length));
        pending.response.emplace();
    }
    const bool isInChunks = !begun.length;
    if (piece.size())
        encodePiece(std::move(piece), isInChunks, messages);
    if (begun.isWhole && isInChunks)
        messages.push_back(encodeLastChunk());
}

}
