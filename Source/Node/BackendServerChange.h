#pragma once

#include "Configuration/BackendServerRecord.h"

#include <string_view>

namespace burlreach {

/** A life of a backend server that came, changed or went. */
struct BackendServerChange {
    enum class Kind {
        Added,
        Changed,
        Restarted, // another life under the same id
        Draining,
        Lapsed, // its record is missing and may come back
        Unusable, // its record cannot be read any more
        Gone
    };

    Kind kind = Kind::Added;
    BackendServerRecord record;
};

/** As it stands in log lines, such as "backend_server_added". */
std::string_view nameOf(BackendServerChange::Kind kind);

}
