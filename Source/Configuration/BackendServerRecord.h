#pragma once

#include "Base/Milliseconds.h"
#include "Base/NetworkAddress.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace burlreach {

/** One life of a backend server, as described in the store. */
struct BackendServerRecord {
    std::string id;
    std::uint64_t life = 0; // a restart under the same id has a higher number; 0: the lives are not distinguished
    std::string service;
    std::string version; // of its software; empty: unknown
    NetworkAddress address;
    std::string dataCentre;
    std::size_t slots = 3; // requests that it handles at once
    bool draining = false; // it gets no new requests
    Milliseconds coldRemaining; // how much longer it is cold, from when the record was written
};

}
