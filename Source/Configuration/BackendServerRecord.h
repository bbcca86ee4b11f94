#pragma once

#include "Base/Milliseconds.h"
#include "Base/NetworkAddress.h"

#include <cstddef>
#include <string>

namespace burlreach {

/** One life of a backend server as the store describes it. */
struct BackendServerRecord {
    std::string id; // names this life; a restart has another one
    std::string service;
    NetworkAddress address;
    std::string dataCentre;
    std::size_t slots = 3; // requests that it works on at once
    bool draining = false; // gets nothing new
    Milliseconds coldRemaining; // how much longer it is slow, counted from the writing of the record
};

}
