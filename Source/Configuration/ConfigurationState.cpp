#include "Configuration/ConfigurationState.h"

#include <utility>

namespace burlreach {

bool ConfigurationState::adopt(v1::Configuration configuration)
{
    if (configuration.revision() <= this->revision())
        return false;
    this->inForce = std::make_shared<const v1::Configuration>(std::move(configuration));
    return true;
}

}
