#pragma once

#include "Base/Milliseconds.h"
#include "Base/Random.h"
#include "Node/Events.h"
#include "Routing/NoticeRegistry.h"

namespace burlreach {

class ServiceTable;

/**
 * Applies the pauses that backend servers request when they refuse a request
 * from this instance. A pause applies to this instance and to that life of the
 * server only; it is not reported to other instances.
 */
class ServerPauses {
public:
    struct Options {
        /**
         * Upper bound of the random extension of a pause. A pause is extended by up to its own length, but no more than
         * this, because a server often asks many instances for a pause at the same moment. At the bound, 18 instances
         * that each send one request within 500 ms load a server of three slots fully at 80 ms per request.
         */
        Milliseconds maxSpread{ 500 };
    };

    /** All must outlive this object. */
    struct Dependencies {
        NoticeRegistry* book = nullptr;
        const ServiceTable* services = nullptr;
        Random* random = nullptr;
    };

    ServerPauses(Options options, Dependencies parts);

    /** Handles a pause request; true when the pause ends later than any requested before. */
    bool handleNotice(const ServerNoticed& event, Milliseconds now) const;

private:
    Options options;
    Dependencies dependencies;
};

}
