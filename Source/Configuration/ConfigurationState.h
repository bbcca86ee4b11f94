#pragma once

#include "configuration.pb.h"

#include <memory>

namespace burlreach {

/** The configuration in force on this instance; its revision never falls. */
class ConfigurationState {
public:
    /** True when the configuration is newer and now in force. */
    bool adopt(v1::Configuration configuration);

    /** Null before the first one is known. */
    const std::shared_ptr<const v1::Configuration>& current() const { return this->inForce; }
    std::uint32_t revision() const { return this->inForce ? this->inForce->revision() : 0; }

private:
    std::shared_ptr<const v1::Configuration> inForce;
};

}
