#pragma once

#include "Base/Milliseconds.h"

#include <optional>

namespace burlreach {

/** What a backend server says of itself in the header of an answer, whatever the answer is to. */
struct ServerNotice {
    bool isLeaving = false; // it will end and wants nothing new, from nobody
    Milliseconds pause; // it wants nothing from this instance for so long; zero: it asked for none

    std::optional<double> limit; // requests a second that it takes from all instances together; nothing: it names none

    bool isEmpty() const { return !this->isLeaving && this->pause.count <= 0 && !this->limit; }
};

}
