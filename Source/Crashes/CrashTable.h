#pragma once

#include "Base/Milliseconds.h"
#include "Crashes/RequestDigest.h"
#include "Crashes/ServerEnd.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace burlreach {

/** A request as it comes from one address. */
struct CallersRequest {
    RequestDigest digest;
    std::uint64_t caller = 0; // see callerNumber()
    bool hasOneAddress = false; // its service has one backend server only
};

/**
 * Under which requests servers ended, and which of these requests are refused
 * for it.
 *
 * A server ends under all requests that are there, and mostly one of them is
 * the cause. So a request is found to crash servers when three ended under it,
 * at moments and addresses that differ, and it was answered nowhere in between.
 * That holds for the request of one caller; where it came from several, and none
 * of them had an answer, for all callers.
 *
 * An end does not count against a request where another one, found to crash
 * servers, was there too and more servers ended under that one. Of 100 requests
 * that each met 15 in 100 of the 30 ends of such a one, 76 met three or more;
 * none is refused with this rule (CrashTable test).
 *
 * The ends are a set that only grows, whoever tells of them and however often,
 * until an answer clears the request or its time is over. So instances that
 * have heard the same come to the same result.
 */
class CrashTable {
public:
    struct Options {
        std::string instance; // further tries are spread over the instances by this name
        std::size_t mostRequests = 512; // 512 of 16 ends take some 600 KB, worked out
        std::size_t mostEnds = 16; // kept of one request; more of them say nothing new
        /** A request under which one server ended: callers that try again do so within seconds. */
        Milliseconds singlesKept{ 60000 };
        Milliseconds suspectsKept{ 600000 }; // under which two ended
        Milliseconds crashingKept{ 86400000 }; // found to crash servers
        /**
         * Refused for so long after the last end, then it may try one server; each further end makes the time thirty
         * times as long. So one that was taken for the cause by mistake is served again after 10 to 20 s, and one that
         * is the cause is tried three times more within a day: after 10 s, 5 minutes and 2.5 hours.
         */
        Milliseconds firstRefusal{ 10000 };
        double growth = 30;
        Milliseconds longestRefusal{ 86400000 };
        double spread = 1; // of the time, over the instances: the first to try tells the others
        Milliseconds tryGap{ 5000 }; // between two tries from here, in case that no end is seen
        /** After an answer: older knowledge of the request may still be told for so long. */
        Milliseconds answersKept{ 60000 };
    };

    /** Servers that must have ended under a request. */
    static constexpr std::size_t ServersThatProve = 3;

    explicit CrashTable(Options options);

    /** True when the end was not known. */
    bool add(const RequestDigest& digest, const ServerEnd& end, Milliseconds now);
    /** As add(), from a record without exact times; what an answer has cleared lately stays cleared. */
    bool addKept(const RequestDigest& digest, const ServerEnd& end, Milliseconds now);
    /** A server answered it: what is older does not count. True when that changed something. */
    bool answered(const RequestDigest& digest, std::uint64_t caller, Milliseconds at, Milliseconds now);
    /** It is sent to a server although it was found to crash servers. */
    void tried(const RequestDigest& digest, Milliseconds now);
    /** Forgets what is too old. */
    void expire(Milliseconds now);

    /** Ends known of it, from all callers. */
    std::span<const ServerEnd> ends(const RequestDigest& digest) const;
    /** Those that count against it: of the caller for which they are the most, or of all. */
    std::size_t countedEnds(const RequestDigest& digest) const;
    /** Those that count against it from this caller. */
    std::size_t countedEnds(const CallersRequest& request) const;
    /** Found to crash servers, from one caller or all. */
    bool isCrashing(const RequestDigest& digest) const;
    /** It may not be sent to any server now. */
    bool isRefused(const CallersRequest& request, Milliseconds now) const;
    /** Until when it is refused here, if it is. */
    Milliseconds refusedUntil(const RequestDigest& digest) const;
    /** The number of its next end at this server; a look at the same end by another attempt gives the same one. */
    std::uint32_t nextOrdinal(const RequestDigest& digest, std::uint64_t server, Milliseconds at) const;

    /** When some caller had an answer to it, as far as ends are known; LongAgo: never. */
    Milliseconds answeredAt(const RequestDigest& digest) const;
    /** An answer to a request under which servers had ended. */
    struct Answer {
        RequestDigest digest;
        std::uint64_t caller = 0;
        Milliseconds at;
    };
    std::vector<Answer> answersSince(Milliseconds from) const;
    /** Against which at least so many ends count; with none all that are known. */
    std::vector<RequestDigest> withCountedEnds(std::size_t least) const;
    std::size_t size() const { return this->entries.size(); }

private:
    struct Entry {
        std::vector<ServerEnd> ends; // in the order in which they were heard
        Milliseconds answeredAt = LongAgo; // to some caller
        Milliseconds triedAt = LongAgo;

        std::size_t servers = 0; // that ended; several callers' requests may have met at one

        Milliseconds lastEnd() const;
        bool has(const ServerEnd& end) const;
        void endsChanged();
    };

    /** What the ends of a request come to. */
    struct Finding {
        std::size_t counted = 0;
        bool isCrashing = false;
    };
    using Answers = std::map<std::uint64_t, Milliseconds>; // the latest, by caller

    static std::vector<ServerEnd> ofCaller(const Entry& entry, std::uint64_t caller);
    /** Those that say something of every caller: of several, and without an answer to any. */
    static std::vector<ServerEnd> ofAll(const Entry& entry);
    bool isExplained(const RequestDigest& digest, const Entry& entry, const ServerEnd& end) const;
    std::size_t counted(const RequestDigest& digest, const Entry& entry, std::span<const ServerEnd> ends) const;
    bool isProof(
        const RequestDigest& digest, const Entry& entry, std::span<const ServerEnd> ends, bool oneAddress) const;
    Finding findingOf(const RequestDigest& digest, const Entry& entry) const;
    /** The same, worked out once until something changes: it takes some microseconds for each pair of requests. */
    const Finding& finding(const RequestDigest& digest, const Entry& entry) const;
    void changed() { this->findings.clear(); }
    Milliseconds keptUntil(const RequestDigest& digest, const Entry& entry) const;
    Milliseconds refusedUntil(const RequestDigest& digest, const Entry& entry) const;
    bool isCleared(const RequestDigest& digest, const ServerEnd& end) const;
    void makeRoom(Milliseconds now);

    Options options;
    std::unordered_map<RequestDigest, Entry, RequestDigestHash> entries;
    std::unordered_map<RequestDigest, Answers, RequestDigestHash> answers; // of the last while
    mutable std::unordered_map<RequestDigest, Finding, RequestDigestHash> findings; // as far as asked for
};

}
