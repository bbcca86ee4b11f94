#include "Operators/MessageCodec.h"

#include <google/protobuf/util/json_util.h>

namespace burlreach {

bool isProtobufType(std::string_view contentType)
{
    return contentType.starts_with(ProtobufType);
}

bool isKnownType(std::string_view contentType)
{
    return isProtobufType(contentType) || contentType.starts_with(JsonType);
}

std::optional<std::string> decodeMessage(const std::string& text, bool asProtobuf, google::protobuf::Message& message)
{
    if (asProtobuf)
        return message.ParseFromString(text)
            ? std::nullopt
            : std::optional<std::string>(
                "is not a valid protobuf encoding of this message; encode it according to operators.proto");
    const auto status = google::protobuf::util::JsonStringToMessage(text, &message);
    if (status.ok())
        return std::nullopt;
    return std::string(status.message()) + "; use the JSON mapping of the message in operators.proto";
}

std::string encodeMessage(const google::protobuf::Message& message, bool asProtobuf)
{
    if (asProtobuf)
        return message.SerializeAsString();
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    options.add_whitespace = true;
    options.always_print_primitive_fields = true;
    std::string text;
    const auto status = google::protobuf::util::MessageToJsonString(message, &text, options);
    return status.ok() ? text : std::string("{}\n");
}

}
