#include "Tests/Virtual/WordsKept.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace burlreach {

namespace {

/** An instance, its life, and the backend server whose notices it received. */
using Hearer = std::tuple<std::size_t, std::uint64_t, std::string>;

/** Received notices, sorted by time because the fleet records them in order of arrival. */
using Heard = std::map<Hearer, std::vector<HeardNotice>>;

bool forbids(const HeardNotice& heard, Milliseconds at, bool isProbe)
{
    if (at <= heard.at)
        return false;
    return (heard.notice.isLeaving && !isProbe) || at < heard.at + heard.notice.pause;
}

template <typename Sent>
void check(const std::vector<Sent>& all, const Heard& heard, bool isProbe, std::vector<std::string>& found)
{
    for (const Sent& sent : all) {
        const auto known = heard.find({ sent.instance, sent.life, sent.backendServer });
        if (known == heard.end())
            continue;
        const bool isForbidden = std::any_of(known->second.begin(), known->second.end(),
            [&](const HeardNotice& notice) { return forbids(notice, sent.at, isProbe); });
        if (isForbidden)
            found.push_back("entry-" + std::to_string(sent.instance + 1) + (isProbe ? " probed " : " sent to ")
                + sent.backendServer + " at " + std::to_string(sent.at.count) + " ms, against the server's notice");
    }
}

}

std::vector<std::string> sentAgainstWords(const VirtualFleet& fleet)
{
    Heard heard;
    for (const HeardNotice& notice : fleet.heardNotices())
        heard[{ notice.instance, notice.life, notice.backendServer }].push_back(notice);
    std::vector<std::string> found;
    check(fleet.sentAttempts(), heard, false, found);
    check(fleet.sentProbes(), heard, true, found);
    return found;
}

}
