#pragma once

#include "Customers/KeyDigest.h"

namespace burlreach {

/** What a request brings to show whose it is. */
struct Credential {
    enum class Kind {
        None, // it brings nothing
        Unreadable, // several, of another scheme, or not well-formed
        Key
    };

    Kind kind = Kind::None;
    KeyDigest key; // of a Key only
};

}
