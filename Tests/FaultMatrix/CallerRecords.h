#pragma once

#include "Tests/Virtual/VirtualFleet.h"

#include <map>
#include <string>

namespace burlreach {

/** What callers were told, kept by the callers themselves. */
struct CallerRecord {
    int sends = 0;
    int answers = 0;
    int unknown = 0;
    std::uint32_t attempt = 1; // rises only after an answer "not run"
    bool endedNotRun = false; // the last attempt was answered so
    bool numbersAttempts = false;
    bool settled = false; // the caller asks no more
};

/**
 * Callers of one fleet. A run-once request is sent again elsewhere when no
 * answer comes or the outcome is unknown; after "not run" it is sent again by
 * those callers that number their attempts.
 */
class CallerRecords {
public:
    explicit CallerRecords(VirtualFleet& fleet);

    /** Sends requests from now until the given time. */
    void load(Milliseconds until);

    const std::map<std::string, CallerRecord>& runOnce() const { return this->records; }
    int foreignAnswers() const { return this->foreign; }
    int brokenAnswers() const { return this->broken; }
    int answered() const { return this->goodAnswers; }
    int refused() const { return this->refusals; }

private:
    void sendNextRunOnce(Milliseconds until);
    void sendNextMayRepeat(Milliseconds until);
    void sendRunOnce(const std::string& id, std::size_t node, bool numbersAttempts);
    void ended(const std::string& id, std::size_t node, std::uint32_t attempt, int send, const RequestEnd& end);
    void repeat(const std::string& id, std::size_t node, bool numbersAttempts);
    void note(const RequestEnd& end, const std::string& id);

    VirtualFleet* fleet;
    std::map<std::string, CallerRecord> records;
    std::size_t nextRunOnce = 0;
    std::size_t nextMayRepeat = 0;
    int foreign = 0;
    int broken = 0;
    int goodAnswers = 0;
    int refusals = 0;
};

}
