#include "Tests/Virtual/LimitsKept.h"

#include <algorithm>
#include <map>
#include <utility>

namespace burlreach {

namespace {

bool isServer(const std::string& id, const std::string& name)
{
    return id.find("/" + name + "@") != std::string::npos;
}

}

std::size_t mostInWindow(std::vector<Milliseconds> times, Milliseconds window, Milliseconds endsAfter)
{
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= window)
            ++first;
        if (times[last] >= endsAfter)
            most = std::max(most, last - first + 1);
    }
    return most;
}

std::vector<Milliseconds> sentDespiteWord(const VirtualFleet& fleet, const std::string& server, const LimitBound& bound)
{
    std::map<std::pair<std::size_t, std::uint64_t>, Milliseconds> heard; // first report, by instance and life
    for (const HeardNotice& notice : fleet.heardNotices()) {
        if (notice.notice.limit && isServer(notice.backendServer, server))
            heard.emplace(std::pair(notice.instance, notice.life), notice.at);
    }
    std::vector<Milliseconds> times;
    for (const SentAttempt& attempt : fleet.sentAttempts()) {
        const auto known = heard.find({ attempt.instance, attempt.life });
        if (known == heard.end() || !isServer(attempt.backendServer, server))
            continue;
        // Without a listening process the request did not reach the server.
        if (attempt.isListening && attempt.at >= known->second + bound.onItsWay)
            times.push_back(attempt.at);
    }
    return times;
}

std::vector<std::string> limitsExceeded(const VirtualFleet& fleet, const LimitBound& bound, Milliseconds until)
{
    struct Word {
        Milliseconds first = Never;
        double highest = 0;
    };
    std::map<std::string, Word> words;
    for (const HeardNotice& notice : fleet.heardNotices()) {
        if (!notice.notice.limit)
            continue;
        Word& word = words[notice.backendServer];
        word.first = std::min(word.first, notice.at);
        word.highest = std::max(word.highest, *notice.notice.limit);
    }
    std::vector<std::string> found;
    for (const auto& [id, word] : words) {
        const std::size_t nameAt = id.find('/') + 1;
        auto times = sentDespiteWord(fleet, id.substr(nameAt, id.find('@') - nameAt), bound);
        std::erase_if(times, [until](Milliseconds at) { return at > until; });
        const double allowed = bound.factor * word.highest * (bound.window / Second) + bound.more;
        const std::size_t most = mostInWindow(std::move(times), bound.window, word.first + bound.settling);
        if (static_cast<double>(most) > allowed)
            found.push_back(
                id + " got " + std::to_string(most) + " requests, its limit allows " + std::to_string(allowed));
    }
    return found;
}

}
