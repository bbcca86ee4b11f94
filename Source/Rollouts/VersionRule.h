#pragma once

#include <string>
#include <string_view>

namespace burlreach {

/** Which backend servers of a service may get new requests during a roll-out. */
struct VersionRule {
    enum class Use {
        All, // servers of every version
        Usual, // all but those of the target version
        Target, // only those of the target version
        Shared // each request is assigned to the target version or to the others
    };

    Use use = Use::All;
    std::string target; // the target version
    double share = 0; // share of the requests assigned to the target version; only if use is Shared

    /** Whether a server of this version may get a request; wantsTarget is the assignment of the request if Shared. */
    bool allows(std::string_view version, bool wantsTarget) const
    {
        const bool isTarget = version == this->target;
        switch (this->use) {
        case Use::All:
            return true;
        case Use::Usual:
            return !isTarget;
        case Use::Target:
            return isTarget;
        case Use::Shared:
            break;
        }
        return isTarget == wantsTarget;
    }
    bool operator==(const VersionRule&) const = default;
};

}
