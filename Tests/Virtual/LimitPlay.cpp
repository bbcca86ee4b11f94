#include "Tests/Virtual/LimitPlay.h"

#include "Tests/Virtual/LimitsKept.h"

namespace burlreach {

namespace {

constexpr Milliseconds Settling{ 8000 };
constexpr Milliseconds UnderLoad{ 2000 };
constexpr Milliseconds Watched{ 14000 };
/** Time until every instance knows a limit, from gossip updates or from the server's own answers. */
constexpr Milliseconds ToldWithin{ 1500 };
constexpr double LeastUsed = 0.7;

double allowed(double limit)
{
    const LimitBound bound;
    return bound.factor * limit * (bound.window / Second) + bound.more;
}

std::string sentence(const std::string& server, const std::string& what, std::size_t count, double limit)
{
    return server + " " + what + ": " + std::to_string(count) + ", allowed " + std::to_string(allowed(limit));
}

void begin(VirtualFleet& fleet, const LimitPlay& play)
{
    for (std::size_t server = 0; server < play.servers; ++server)
        fleet.addServer({ .id = "s" + std::to_string(server), .work = { 30 } });
    fleet.configure(virtualConfiguration(fleet.serverIds(), 1));
    for (std::size_t instance = 0; instance < play.instances - play.joining; ++instance)
        fleet.start(instance);
    fleet.run(Settling);
    fleet.repeat([](std::size_t) { return VirtualRequest{}; }, play.between);
    fleet.run(UnderLoad);
}

std::vector<Milliseconds> sentTo(const VirtualFleet& fleet, const std::string& server, Milliseconds from)
{
    std::vector<Milliseconds> times;
    for (const SentAttempt& attempt : fleet.sentAttempts()) {
        const bool isThere = attempt.backendServer.find("/" + server + "@") != std::string::npos;
        if (isThere && attempt.isListening && attempt.at >= from)
            times.push_back(attempt.at);
    }
    return times;
}

void check(const VirtualFleet& fleet, const LimitPlay& play, const std::string& server, Milliseconds from,
    std::vector<std::string>& found)
{
    const LimitBound bound;
    const auto despite = sentDespiteWord(fleet, server, bound);
    const std::size_t most = mostInWindow(despite, bound.window, from + bound.settling);
    if (static_cast<double>(most) > allowed(play.limit))
        found.push_back(sentence(server, "requests from instances that had received the limit", most, play.limit));
    const auto all = sentTo(fleet, server, from + ToldWithin);
    const std::size_t mostOfAll = mostInWindow(all, bound.window, from);
    if (play.isTold && static_cast<double>(mostOfAll) > allowed(play.limit))
        found.push_back(sentence(server, "requests from all instances", mostOfAll, play.limit));
    const double used = static_cast<double>(all.size()) / (play.limit * ((Watched - ToldWithin) / Second));
    if (play.isUsed && used < LeastUsed)
        found.push_back(
            sentence(server, "used too little of its limit, requests from all instances", all.size(), play.limit));
}

}

std::vector<std::string> played(const LimitPlay& play)
{
    VirtualFleet::Options options;
    options.instances = play.instances;
    options.seed = 7;
    VirtualFleet fleet(options);
    begin(fleet, play);
    const Milliseconds from = fleet.now();
    play.plan(fleet);
    for (std::size_t server = 0; server < play.limited; ++server)
        fleet.server("s" + std::to_string(server)).setLimit(play.limit);
    fleet.run(Watched);
    std::vector<std::string> found;
    for (std::size_t server = 0; server < play.limited; ++server)
        check(fleet, play, "s" + std::to_string(server), from, found);
    return found;
}

}
