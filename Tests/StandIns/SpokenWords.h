#pragma once

#include <chrono>
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

    std::mutex mutex;
    bool isBetweenLives = false;
    std::map<std::string, Clock::time_point> leaving; // since when, by instance
    std::map<std::string, Pause> pauses;
};

}
