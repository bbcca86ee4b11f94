#pragma once

#include "Base/Milliseconds.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace burlreach {

/**
 * Notices that backend servers sent about themselves, by id and life.
 *
 * They are kept independently of the records in the store: a notice stays valid while a record disappears and
 * returns, moves or is read in an older version, and while the store is unreachable. Only a later life of the server
 * ends it.
 */
class NoticeRegistry {
public:
    struct Options {
        /**
         * Maximum number of entries; the one without a notice for the longest time is dropped first. Enough for a fleet
         * of 700 servers that are all replaced eleven times. About 1 MB.
         */
        std::size_t maxEntries = 8192;
    };

    explicit NoticeRegistry(Options options);

    /** Records that this life is shutting down; true when it was not known. */
    bool recordLeaving(const std::string& backendServer, std::uint64_t life, Milliseconds at);
    bool isLeaving(std::string_view backendServer, std::uint64_t life) const;
    /** Records that this life asked for a pause; true when it ends later than the one known so far. */
    bool recordPause(const std::string& backendServer, std::uint64_t life, Milliseconds until, Milliseconds at);
    /** End of the pause that this life asked for; LongAgo without one. */
    Milliseconds pausedUntil(std::string_view backendServer, std::uint64_t life) const;

private:
    struct Entry {
        std::uint64_t life = 0;
        bool isLeaving = false;
        Milliseconds pausedUntil = LongAgo;
        Milliseconds receivedAt;
    };

    /** Adds or updates the entry; null when a later life is known, so that the notice is obsolete. */
    Entry* entryOf(const std::string& backendServer, std::uint64_t life, Milliseconds now);
    const Entry* find(std::string_view backendServer, std::uint64_t life) const;
    void forgetOldest();

    Options options;
    std::map<std::string, Entry, std::less<>> entries; // by id
};

}
