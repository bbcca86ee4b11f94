#pragma once

#include "Configuration/StoreItemTranslator.h"
#include "configuration.pb.h"

namespace burlreach {

/** The store key of the operators' configuration in burlreach's native format. */
inline constexpr const char* NativeConfigurationKey = "burlreach/configuration";

/**
 * Translates burlreach's native format: one document with the services, their rules and their backend servers
 * (configuration.proto), which operators change through calls to burlreach.
 */
class NativeItemTranslator final : public StoreItemTranslator {
public:
    std::string watchedPrefix() const override { return "burlreach/"; }
    ConfigurationUpdate translate(const StoreItem& item) const override;
};

/** Translates a configuration in the native format. */
ConfigurationUpdate configurationUpdateOf(const v1::Configuration& configuration);

}
