#pragma once

#include "Base/Milliseconds.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace burlreach {

/**
 * What backend servers said of themselves, by id and life.
 *
 * It stands apart from the records of the store: what was said holds on while a
 * record is gone and comes back, is moved or is read again in an older form,
 * and while the store says nothing. Only a later life of the server ends it.
 */
class NoticeBook {
public:
    struct Options {
        /**
         * Of lives, the oldest is forgotten first: all servers of a fleet of 700 replaced eleven times. About 1 MB.
         */
        std::size_t mostLives = 8192;
    };

    explicit NoticeBook(Options options);

    /** True when it is news that this life is leaving. */
    bool heardLeaving(const std::string& backendServer, std::uint64_t life, Milliseconds at);
    bool isLeaving(std::string_view backendServer, std::uint64_t life) const;
    /** True when this life asked for a later end than before. */
    bool heardPause(const std::string& backendServer, std::uint64_t life, Milliseconds until, Milliseconds at);
    /** Long ago when this life asked for no pause. */
    Milliseconds pausedUntil(std::string_view backendServer, std::uint64_t life) const;

private:
    struct Entry {
        std::uint64_t life = 0;
        bool isLeaving = false;
        Milliseconds pausedUntil = LongAgo;
        Milliseconds heardAt;
    };

    /** Null when a later life was heard: the one that said it has ended. */
    Entry* entryOf(const std::string& backendServer, std::uint64_t life, Milliseconds now);
    const Entry* find(std::string_view backendServer, std::uint64_t life) const;
    void forgetOldest();

    Options options;
    std::map<std::string, Entry, std::less<>> entries; // by id
};

}
