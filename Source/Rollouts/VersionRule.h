#pragma once

#include <string>
#include <string_view>

namespace burlreach {

/** Which backend servers of a service may get new requests while another version of it is brought in. */
struct VersionRule {
    enum class Use {
        All, // versions make no difference
        Usual, // none of the target version
        Target, // only those of the target version
        Shared // each request is for one of the two
    };

    Use use = Use::All;
    std::string target; // version
    double share = 0; // of the requests that are for the target version, when shared

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
