#pragma once

#include "Tests/Soak/SoakFleet.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace burlreach {

/** What callers were told, as their stand-in wrote it. */
struct CallersResult {
    std::map<std::string, int> outcomes;
    std::map<std::string, int> reasons; // of refusals
    std::vector<std::string> answeredBookings;
    std::vector<std::string> notRunBookings;
    std::vector<std::string> cuts; // where and when each request without an answer ended
};

/** Compares what callers were told with what the backend servers' journals hold. */
class SoakChecker {
public:
    explicit SoakChecker(const SoakFleet& fleet);

    static CallersResult read(const std::string& path);
    /** The promises that hold whatever fails. */
    void check(const CallersResult& told);
    /** Nobody may be cut, as far as only planned work went on. */
    void checkNothingCut(const CallersResult& told);
    /** Everything was answered: no fault is left. */
    void checkAllAnswered(const CallersResult& told);
    /** Callers of servers that another one's request crashed: they are not taken for the cause, and some are served. */
    void checkNeighbours(const CallersResult& told);
    /** Servers that said they leave or asked for a pause were left alone by whoever they told. */
    void checkWords();
    /** Instances understood all that servers said in their answers. */
    void checkNothingUnread();
    void note(const std::string& broken) { this->broken.push_back(broken); }
    const std::vector<std::string>& findings() const { return this->broken; }

private:
    void readLog(const std::string& path);

    std::map<std::string, int> runs; // by request id
    std::map<std::string, int> againstWords; // requests that came against a server's word, by word
    std::set<std::string> unreadFields; // of answers, as instances named them in their logs
    std::vector<std::string> broken;
};

}
