#pragma once

#include "Configuration/FactTranslator.h"
#include "configuration.pb.h"

namespace burlreach {

/** The key of the operators' configuration in burlreach's own form. */
inline constexpr const char* OwnConfigurationKey = "burlreach/configuration";

/**
 * burlreach's own form: one document, changed by operators' calls, holds
 * services, their rules and their backend servers (configuration.proto).
 */
class OwnFactTranslator final : public FactTranslator {
public:
    std::string watchedPrefix() const override { return "burlreach/"; }
    Facts translate(const StoreItem& item) const override;
};

/** The facts in a configuration of burlreach's own form. */
Facts factsOf(const v1::Configuration& configuration);

}
