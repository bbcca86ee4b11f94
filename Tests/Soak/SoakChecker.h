#pragma once

#include "Base/Milliseconds.h"
#include "Tests/Soak/SoakFleet.h"
#include "Tests/Virtual/RetriesKept.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace burlreach {

/** The answers that callers received, as CallerStandIn reported them. */
struct CallersResult {
    std::map<std::string, int> outcomes;
    std::map<std::string, int> reasons; // number of refusals, by reason
    std::vector<std::string> answeredBookings;
    std::vector<std::string> notRunBookings;
    std::vector<std::string> cuts; // where and when each request without an answer ended
};

/** A request that reached a backend server. */
struct ReceivedRequest {
    std::string requestId;
    Milliseconds at; // system time
};

/** Compares the answers that callers received with the journals of the backend servers. */
class SoakChecker {
public:
    explicit SoakChecker(const SoakFleet& fleet);

    static CallersResult read(const std::string& path);
    /** Checks the guarantees that hold under every fault. */
    void check(const CallersResult& told);
    /** Checks that no request was cut; for runs with planned work only. */
    void checkNothingCut(const CallersResult& told);
    /** Checks that every request was answered; for callers that start after all faults have ended. */
    void checkAllAnswered(const CallersResult& told);
    /** Checks that other callers of the crashing servers are not refused as the cause, and that some are served. */
    void checkNeighbours(const CallersResult& told);
    /** Checks that instances followed the notices that servers sent to them: leaving, pauses and limits. */
    void checkWords();
    /**
     * Checks that servers received no more repeats than the bound on retries allows, in each window; returns the window
     * that came closest to it.
     */
    RetryCount checkRetries(const RetryLimits& limits);
    /** Checks that the instances read every field that servers sent in their answers. */
    void checkNothingUnread();
    void note(const std::string& broken) { this->broken.push_back(broken); }
    const std::vector<std::string>& findings() const { return this->broken; }

private:
    void readArrivals(const std::string& path);
    void readLog(const std::string& path);

    std::map<std::string, int> runs; // number of runs, by request id
    std::vector<ReceivedRequest> received;
    std::map<std::string, int> againstWords; // number of requests sent against a server's notice, by kind of notice
    std::set<std::string> unreadFields; // answer fields that instances logged as unread
    std::vector<std::string> broken;
};

}
