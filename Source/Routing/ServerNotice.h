#pragma once

#include "Base/Milliseconds.h"

#include <optional>

namespace burlreach {

/** What a backend server reports about itself in the headers of any answer. */
struct ServerNotice {
    bool isLeaving = false; // it is shutting down and takes no new requests from any instance
    Milliseconds pause; // it asks this instance to send nothing for this long; zero: no pause

    std::optional<double> limit; // requests a second from all instances together; nullopt: no limit

    bool isEmpty() const { return !this->isLeaving && this->pause.count <= 0 && !this->limit; }
};

}
