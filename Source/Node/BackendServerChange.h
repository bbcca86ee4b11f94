#pragma once

#include "Configuration/BackendServerRecord.h"

#include <string_view>

namespace burlreach {

/** A change of a backend server's record. */
struct BackendServerChange {
    enum class Kind {
        Added,
        Changed,
        Restarted, // same id, new life
        Draining,
        Lapsed, // the record was removed and is kept, as it may be written again
        Unusable, // the record is no longer readable
        Gone
    };

    Kind kind = Kind::Added;
    BackendServerRecord record;
};

/** The kind's name in log lines, such as "backend_server_added". */
std::string_view nameOf(BackendServerChange::Kind kind);

}
