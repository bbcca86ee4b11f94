#pragma once

#include "Base/Milliseconds.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace burlreach {

/** What one life of a backend server last said of a limit. */
struct LimitStatement {
    std::uint64_t life = 0;
    std::optional<double> perSecond; // requests that it takes from all instances together; nothing: no limit any more
    Milliseconds at; // heard then; of one that ends a limit: the answered request was sent then
    bool isHeardHere = false; // in an answer to this instance
};

/** What a statement changed. */
enum class LimitChange {
    None,
    Begun, // the server has named a limit for the first time, or again
    Adjusted,
    Ended
};

/**
 * The limits that backend servers named in their answers, by id and life.
 *
 * A statement gives way to a newer one only. Answers overtake each other, so
 * one that raises or ends a limit counts when its request was sent after the
 * limit was heard; a lower limit counts at once.
 */
class LimitBook {
public:
    struct Options {
        /** Of servers, the one that was not heard for the longest time is forgotten first. About 1 MB. */
        std::size_t mostServers = 8192;
        /** What others told seems as much newer here as it was under way. */
        Milliseconds toldMargin{ 100 };
        /** For so long the end of a limit is kept, to be told. */
        Milliseconds endKept{ 10000 };
    };

    explicit LimitBook(Options options);

    /** A limit stood in the answer to a request of this time. */
    LimitChange heard(
        const std::string& backendServer, std::uint64_t life, double perSecond, Milliseconds sentAt, Milliseconds now);
    /** A whole answer to a request of this time may have named a limit, which was heard before; or none. */
    LimitChange answered(const std::string& backendServer, std::uint64_t life, Milliseconds sentAt);
    /** Another instance told it. */
    LimitChange told(const std::string& backendServer, const LimitStatement& statement);
    /** Forgets limits that ended some time ago. */
    void tick(Milliseconds now);

    /** Nothing when this life has no limit. */
    std::optional<double> limitOf(std::string_view backendServer, std::uint64_t life) const;
    /** Null when nothing is known of this life. */
    const LimitStatement* find(std::string_view backendServer, std::uint64_t life) const;
    /** Of any life. */
    const LimitStatement* find(std::string_view backendServer) const;
    const std::map<std::string, LimitStatement, std::less<>>& all() const { return this->statements; }

private:
    LimitChange take(const std::string& backendServer, const LimitStatement& next, Milliseconds validFrom);
    void forgetOldest();

    Options options;
    std::map<std::string, LimitStatement, std::less<>> statements; // by id
};

}
