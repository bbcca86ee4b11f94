#pragma once

#include "Base/Milliseconds.h"
#include "peers.pb.h"

#include <cstdint>
#include <optional>

namespace burlreach {

/**
 * When to ask another instance for changes that its news named and did not hold.
 *
 * One question is under way at a time: asking again before the answer is there
 * would make a busy instance send everything once more. News without changes
 * are given a moment first, since those of the leading watcher bring them.
 */
class PullPlan {
public:
    struct Options {
        Milliseconds patience{ 200 }; // with news that hold no changes
        Milliseconds timeout{ 1000 }; // then the next one is asked
        // For a push that was announced: 150 KB over three steps of 10 Mbit/s take about half of it, and a pull after
        // it is answered before an instance must ask the store itself.
        Milliseconds pushPatience{ 900 };
    };

    explicit PullPlan(Options givenOptions);

    /** News of this origin told of a later revision and could not be applied. */
    void behind(const peers::Member& origin, std::uint64_t revision, bool heldChanges, Milliseconds now);
    /** The news told that a push with what is missing follows. */
    void promised(Milliseconds now);
    /** That push came, whatever it held. */
    void delivered() { this->promisedUntil = LongAgo; }
    /** What is known reaches this revision now. */
    void reached(std::uint64_t revision);
    /** An answer came, whatever it held. */
    void answered() { this->pendingUntil = LongAgo; }
    /** Whom to ask now; the question then counts as under way. */
    std::optional<peers::Member> next(Milliseconds now);
    Milliseconds nextDue() const;

private:
    Options options;
    peers::Member newest; // told of the latest revision
    std::uint64_t wanted = 0; // 0: nothing is missing
    Milliseconds askAt = Never;
    Milliseconds promisedUntil = LongAgo;
    Milliseconds pendingUntil = LongAgo;
};

}
