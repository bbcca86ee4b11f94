#pragma once

namespace burlreach {

/** What a backend server says of itself in the header of an answer, whatever the answer is to. */
struct ServerNotice {
    bool isLeaving = false; // it will end and wants nothing new, from nobody

    bool isEmpty() const { return !this->isLeaving; }
};

}
