#pragma once

#include "Customers/KeyDigest.h"

namespace burlreach {

/** The credential of a request, by which its customer is found. */
struct Credential {
    enum class Kind {
        None, // the request has no credential
        Unreadable, // more than one, of another scheme, or malformed
        Key
    };

    Kind kind = Kind::None;
    KeyDigest key; // only if kind is Key
};

}
