#include "Configuration/ConfigurationCodec.h"

#include <google/protobuf/util/json_util.h>

namespace burlreach {

std::string encodeConfiguration(const v1::Configuration& configuration)
{
    std::string text;
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    const auto status = google::protobuf::util::MessageToJsonString(configuration, &text, options);
    return status.ok() ? text : std::string();
}

std::optional<v1::Configuration> decodeConfiguration(std::string_view text)
{
    v1::Configuration configuration;
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    const auto status
        = google::protobuf::util::JsonStringToMessage({ text.data(), text.size() }, &configuration, options);
    if (!status.ok() || !configuration.revision())
        return std::nullopt;
    return configuration;
}

}
