#pragma once

#include "Base/Milliseconds.h"
#include "Base/Random.h"
#include "Node/Events.h"
#include "Routing/NoticeBook.h"

namespace burlreach {

class ServiceTable;

/**
 * Pauses that backend servers asked this instance for when they turned a
 * request away. Each is kept as asked, by the life that asked, and concerns
 * this instance alone: others are not told.
 */
class ServerPauses {
public:
    struct Options {
        /**
         * At its end this instance waits up to as long again, at most so long: what a server asked of many instances at
         * one moment would end at one moment. 18 instances that then send one request each within half a second are as
         * much as a server of three slots answers at 80 ms a request.
         */
        Milliseconds longestSpread{ 500 };
    };

    /** All outlive this object. */
    struct Parts {
        NoticeBook* book = nullptr;
        const ServiceTable* services = nullptr;
        Random* random = nullptr;
    };

    ServerPauses(Options options, Parts parts);

    /** True when it lengthens what was asked before. */
    bool heard(const ServerNoticed& event, Milliseconds now) const;

private:
    Options options;
    Parts parts;
};

}
