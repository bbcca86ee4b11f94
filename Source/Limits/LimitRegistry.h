#pragma once

#include "Base/Milliseconds.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace burlreach {

/** The latest report about the limit of one life of a backend server. */
struct LimitReport {
    std::uint64_t life = 0;
    std::optional<double> perSecond; // requests from all instances together; nullopt: the limit has ended
    Milliseconds at; // when the limit was received; for the end of a limit: when the answered request was sent
    bool isReceivedDirectly = false; // received in an answer to this instance, not from another instance
};

/** What a report changed. */
enum class LimitChange {
    None,
    Begun, // the server has a limit and had none before
    Adjusted,
    Ended
};

/**
 * The limits that backend servers reported in their answers, by id and life.
 *
 * Only a newer report replaces another one. Answers can overtake each other, so a report that raises or ends a limit is
 * accepted only if its request was sent after the present limit was received. A lower limit is accepted at once.
 */
class LimitRegistry {
public:
    struct Options {
        /** The server with the oldest report is dropped first. About 1 MB. */
        std::size_t mostServers = 8192;
        /** Reports from other instances appear newer here by the time that the message took; this bounds that time. */
        Milliseconds maxMessageDelay{ 100 };
        /** The end of a limit is kept for this long, so that it can be sent to other instances. */
        Milliseconds endedLimitKept{ 10000 };
    };

    explicit LimitRegistry(Options options);

    /** An answer to a request that was sent at `sentAt` reported a limit. */
    LimitChange recordLimit(
        const std::string& backendServer, std::uint64_t life, double perSecond, Milliseconds sentAt, Milliseconds now);
    /**
     * A complete answer arrived to a request that was sent at `sentAt`. If it reported a limit, that has been
     * recorded before; otherwise the server has no limit any more.
     */
    LimitChange recordAnswer(const std::string& backendServer, std::uint64_t life, Milliseconds sentAt);
    /** Another instance passed on a report. */
    LimitChange mergeFromPeer(const std::string& backendServer, const LimitReport& statement);
    /** Removes limits that ended some time ago. */
    void tick(Milliseconds now);

    /** The limit of this life; nullopt without one. */
    std::optional<double> limitOf(std::string_view backendServer, std::uint64_t life) const;
    /** The latest report of this life; null without one. */
    const LimitReport* find(std::string_view backendServer, std::uint64_t life) const;
    /** The latest report of the server, whatever its life. */
    const LimitReport* find(std::string_view backendServer) const;
    const std::map<std::string, LimitReport, std::less<>>& all() const { return this->reports; }

private:
    LimitChange apply(const std::string& backendServer, const LimitReport& next, Milliseconds validFrom);
    void forgetOldest();

    Options options;
    std::map<std::string, LimitReport, std::less<>> reports; // by id
};

}
