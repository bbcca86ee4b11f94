#pragma once

#include "Configuration/FactTranslator.h"
#include "configuration.pb.h"

namespace burlreach {

/** The store key of the operators' configuration in burlreach's native format. */
inline constexpr const char* OwnConfigurationKey = "burlreach/configuration";

/**
 * Translates burlreach's native format: one document with the services, their rules and their backend servers
 * (configuration.proto), which operators change through calls to burlreach.
 */
class OwnFactTranslator final : public FactTranslator {
public:
    std::string watchedPrefix() const override { return "burlreach/"; }
    Facts translate(const StoreItem& item) const override;
};

/** Translates a configuration in the native format. */
Facts factsOf(const v1::Configuration& configuration);

}
