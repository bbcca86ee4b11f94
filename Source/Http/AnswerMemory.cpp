#include "Http/AnswerMemory.h"

#include <utility>

namespace burlreach {

void AnswerMemory::set(AnswerHolder& holder, std::size_t bytes)
{
    std::size_t& known = this->held[&holder];
    this->sum = this->sum - known + bytes;
    known = bytes;
    while (this->sum > this->maxBytes) {
        AnswerHolder* const largest = this->choose();
        this->remove(*largest);
        largest->dropAnswer();
    }
}

void AnswerMemory::remove(AnswerHolder& holder)
{
    const auto found = this->held.find(&holder);
    if (found == this->held.end())
        return;
    this->sum -= found->second;
    this->held.erase(found);
}

AnswerHolder* AnswerMemory::choose() const
{
    AnswerHolder* chosen = nullptr;
    std::pair<bool, std::size_t> most;
    for (const auto& [holder, bytes] : this->held) {
        const std::pair rank(!holder->hasDeclaredLength(), bytes);
        if (chosen && rank <= most)
            continue;
        chosen = holder;
        most = rank;
    }
    return chosen;
}

}
