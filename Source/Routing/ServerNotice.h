#pragma once

#include "Base/Milliseconds.h"

namespace burlreach {

/** What a backend server says of itself in the header of an answer, whatever the answer is to. */
struct ServerNotice {
    bool isLeaving = false; // it will end and wants nothing new, from nobody
    Milliseconds pause; // it wants nothing from this instance for so long; zero: it asked for none

    bool isEmpty() const { return !this->isLeaving && this->pause.count <= 0; }
};

}
