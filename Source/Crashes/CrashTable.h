#pragma once

#include "Base/Milliseconds.h"
#include "Crashes/RequestDigest.h"
#include "Crashes/ServerCrash.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace burlreach {

/** A request of one caller. */
struct CallerRequest {
    RequestDigest digest;
    std::uint64_t caller = 0; // see callerHash()
    bool hasOneAddress = false; // its service has only one backend server
};

/**
 * Records which requests were in flight at servers that crashed, and decides which of these requests are refused
 * because they crash servers.
 *
 * Input: crashes and answers, seen by this instance, received from other instances or read from the store. A crash is
 * recorded against every request that was in flight at the server, although mostly one of them is the cause.
 *
 * Decision: a request is found to crash servers when three crashes count against it, at different times and at more
 * than one address, without an answer in between. A service with a single backend server needs only different times.
 * - The crashes of each caller's requests are evaluated separately, so that one caller's request is not refused for
 *   what others sent. If several callers sent the same request and none had an answer, their crashes are evaluated
 *   together, and the result applies to all callers.
 * - A crash does not count against a request if another request with three or more crashes was there too and has more
 *   crashes, as that one is the likelier cause, or if both have exactly three. Of 100 requests, each present with a
 *   probability of 15 % at each of 30 crashes caused by one other request, 76 were present at three or more; none is
 *   refused with this rule (CrashTable test). All crashes that are explained in this way count as one if there are
 *   several, so that two requests that both crash servers are both found.
 *
 * Output: a request that is found to crash servers is refused for some time after its last crash. Then it may be tried
 * at one server, and each further crash makes the time longer.
 *
 * Crashes form a set that only grows, in any order and with any number of duplicates, until an answer clears the
 * request or its crashes expire. So instances that have received the same reports reach the same result.
 */
class CrashTable {
public:
    struct Options {
        std::string instance; // name of this instance; spreads the times of tries over the instances
        std::size_t mostRequests = 512; // about 600 KB with 16 crashes each
        std::size_t mostCrashes = 16; // crashes kept of one request; more would not change the result
        /** How long a request with a single crash is kept: callers that retry do so within seconds. */
        Milliseconds singleCrashKept{ 60000 };
        Milliseconds suspectsKept{ 600000 }; // the same for a request with two crashes
        Milliseconds crashingKept{ 86400000 }; // the same for a request with three or more crashes
        /**
         * How long a request is refused after the last crash, before it is tried at one server again. Each further
         * crash multiplies the time by `refusalGrowth`. So a request that was found by mistake is served again after 10
         * to 20 s, and one that does crash servers is tried only three more times within a day: after 10 s, 5 minutes
         * and 2.5 hours.
         */
        Milliseconds firstRefusal{ 10000 };
        double refusalGrowth = 30;
        Milliseconds longestRefusal{ 86400000 };
        double refusalSpread = 1; // random share of the time, by instance: the first to try informs the others
        /** Minimum time between two tries by this instance, for when a try shows neither an answer nor a crash. */
        Milliseconds minTryInterval{ 5000 };
        /** How long an answer is kept: other instances may still send older crashes of the request for this long. */
        Milliseconds answersKept{ 60000 };
    };

    /** Crashes that must count against a request to find that it crashes servers. */
    static constexpr std::size_t CrashesToConfirm = 3;

    explicit CrashTable(Options options);

    /** Records a crash; true when it was not known. */
    bool add(const RequestDigest& digest, const ServerCrash& crash, Milliseconds now);
    /** The same for a record without exact times; ignored if the request of this caller was answered recently. */
    bool addStored(const RequestDigest& digest, const ServerCrash& crash, Milliseconds now);
    /** A server answered the request: older crashes no longer count. True when this changed anything. */
    bool answered(const RequestDigest& digest, std::uint64_t caller, Milliseconds at, Milliseconds now);
    /** The request is sent to a server although it was found to crash servers. */
    void tried(const RequestDigest& digest, Milliseconds now);
    /** Removes expired crashes and answers. */
    void expire(Milliseconds now);

    /** Known crashes under the request, from all callers. */
    std::span<const ServerCrash> crashes(const RequestDigest& digest) const;
    /** Number of crashes that count against the request: of the caller with the most, or of all callers together. */
    std::size_t countedCrashes(const RequestDigest& digest) const;
    /** Number of crashes that count against the request when it comes from this caller. */
    std::size_t countedCrashes(const CallerRequest& request) const;
    /** True when the request is found to crash servers, from one caller or from all. */
    bool isCrashing(const RequestDigest& digest) const;
    /** True when the request may not be sent to any server now. */
    bool isRefused(const CallerRequest& request, Milliseconds now) const;
    /** Until when this instance refuses the request, if it is found to crash servers. */
    Milliseconds refusedUntil(const RequestDigest& digest) const;
    /** The ordinal for a crash of this server under the request; attempts that saw the same crash get the same one. */
    std::uint32_t nextOrdinal(const RequestDigest& digest, std::uint64_t server, Milliseconds at) const;

    /** Time of the last answer to any caller of a request with known crashes; LongAgo without one. */
    Milliseconds answeredAt(const RequestDigest& digest) const;
    /** An answer to a request under which servers had crashed. */
    struct Answer {
        RequestDigest digest;
        std::uint64_t caller = 0;
        Milliseconds at;
    };
    std::vector<Answer> answersSince(Milliseconds from) const;
    /** Requests against which at least this many crashes count; all known requests for 0. */
    std::vector<RequestDigest> digestsWithCountedCrashes(std::size_t least) const;
    std::size_t size() const { return this->entries.size(); }

private:
    struct Entry {
        std::vector<ServerCrash> crashes; // in order of arrival
        Milliseconds answeredAt = LongAgo; // last answer to any caller
        Milliseconds triedAt = LongAgo;

        std::size_t crashCount = 0; // distinct crashes; the requests of several callers may have been at the same one

        Milliseconds lastCrash() const;
        bool hasCrash(const ServerCrash& crash) const;
        void updateCrashCount();
    };

    /** The evaluation of the crashes of a request. */
    struct Evaluation {
        std::size_t counted = 0;
        bool isCrashing = false;
    };
    using Answers = std::map<std::uint64_t, Milliseconds>; // time of the latest answer, by caller

    static std::vector<ServerCrash> crashesOfCaller(const Entry& entry, std::uint64_t caller);
    /** Crashes that count for every caller: those since the last answer, if they come from several callers. */
    static std::vector<ServerCrash> crashesOfAllCallers(const Entry& entry);
    bool isExplainedByOther(const RequestDigest& digest, const Entry& entry, const ServerCrash& crash) const;
    std::size_t countCrashes(
        const RequestDigest& digest, const Entry& entry, std::span<const ServerCrash> crashes) const;
    bool isConclusive(
        const RequestDigest& digest, const Entry& entry, std::span<const ServerCrash> crashes, bool oneAddress) const;
    Evaluation evaluate(const RequestDigest& digest, const Entry& entry) const;
    /** The same, cached until something changes: the evaluation takes some microseconds for each pair of requests. */
    const Evaluation& evaluation(const RequestDigest& digest, const Entry& entry) const;
    void invalidateEvaluations() { this->evaluations.clear(); }
    Milliseconds expiresAt(const RequestDigest& digest, const Entry& entry) const;
    Milliseconds refusedUntil(const RequestDigest& digest, const Entry& entry) const;
    bool isCleared(const RequestDigest& digest, const ServerCrash& crash) const;
    void evictIfFull(Milliseconds now);

    Options options;
    std::unordered_map<RequestDigest, Entry, RequestDigestHash> entries;
    std::unordered_map<RequestDigest, Answers, RequestDigestHash> answers; // recent ones
    mutable std::unordered_map<RequestDigest, Evaluation, RequestDigestHash> evaluations; // cache
};

}
