#pragma once

#include "Base/Milliseconds.h"
#include "Base/NetworkAddress.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace burlreach {

/** One life of a backend server as the store describes it. */
struct BackendServerRecord {
    std::string id;
    std::uint64_t life = 0; // begun anew under the same id it has a higher number; 0: its lives are not told apart
    std::string service;
    std::string version; // of its software; empty: not told
    NetworkAddress address;
    std::string dataCentre;
    std::size_t slots = 3; // requests that it works on at once
    bool draining = false; // gets nothing new
    Milliseconds coldRemaining; // how much longer it is slow, counted from the writing of the record
};

}
