#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace burlreach {

/**
 * Records which notices a stand-in for a backend server has sent to which instance and when, and detects requests that
 * arrive against them. Callers name the instance that they use in the field "Entry", which the instance forwards.
 */
class SpokenWords {
public:
    using Clock = std::chrono::steady_clock;

    /** The server reported to this instance that it leaves. */
    void saidLeaving(const std::string& instance);
    /** The server asked this instance for a pause of this length. */
    void askedPause(const std::string& instance, double seconds);
    /** The server reported a limit to this instance, in requests per second from all instances together. */
    void namedLimit(const std::string& instance, double perSecond);
    /** The server answered without a limit: from now on it has none. */
    void namedNoLimit();
    /** Takes a request from this instance; returns the kind of notice that it violates, or nothing. */
    std::string against(const std::string& instance);
    /**
     * Begins a new life, which has sent no notices: clears all records, and records nothing until newLifeIsKnown(),
     * since an instance may attribute a notice sent meanwhile to either life.
     */
    void beginNewLife();
    /** The registration of the new life is in force at all instances. */
    void newLifeIsKnown();

private:
    struct Pause {
        Clock::time_point from;
        Clock::time_point until;
        int requests = 0; // number of requests that arrived during the pause
    };

    bool isBeyondLimit(const std::string& instance, Clock::time_point now);

    std::mutex mutex;
    bool isBetweenLives = false;
    std::map<std::string, Clock::time_point> leaving; // time of the first report, by instance
    std::map<std::string, Pause> pauses;
    std::map<std::string, Clock::time_point> toldLimit; // time of the first report, by instance
    Clock::time_point limitSince; // earliest time in toldLimit
    double limit = 0; // requests per second
    std::deque<Clock::time_point> arrivals; // within LimitWindow, from instances that received the limit
};

}
