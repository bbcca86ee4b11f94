#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace burlreach {

/**
 * What a stand-in for a backend server has said of itself, to which instance
 * and when, and which requests came all the same. Callers name the instance
 * that they ask in the field "Entry", which is forwarded.
 */
class SpokenWords {
public:
    using Clock = std::chrono::steady_clock;

    /** It said to this instance that it leaves. */
    void saidLeaving(const std::string& instance);
    /** It asked this instance for a pause of so many seconds. */
    void askedPause(const std::string& instance, double seconds);
    /** It named a limit in an answer to this instance: so many requests a second from all of them together. */
    void namedLimit(const std::string& instance, double perSecond);
    /** It answered without naming a limit: from now on it has none. */
    void namedNoLimit();
    /** A request came from there: the word that it goes against; empty: none. */
    std::string against(const std::string& instance);
    /**
     * A new life begins, which has said nothing: all is forgotten, and nothing is noted until its name is in force at
     * all instances, since what is said meanwhile may be taken for the word of either life.
     */
    void beginNewLife();
    void newLifeIsKnown();

private:
    struct Pause {
        Clock::time_point from;
        Clock::time_point until;
        int requests = 0; // that came meanwhile
    };

    bool isBeyondLimit(const std::string& instance, Clock::time_point now);

    std::mutex mutex;
    bool isBetweenLives = false;
    std::map<std::string, Clock::time_point> leaving; // since when, by instance
    std::map<std::string, Pause> pauses;
    std::map<std::string, Clock::time_point> toldLimit; // since when, by instance
    Clock::time_point limitSince; // the first of them
    double limit = 0; // requests a second
    std::deque<Clock::time_point> arrivals; // in the window that the limit counts, from instances that were told
};

}
