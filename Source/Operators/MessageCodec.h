#pragma once

#include <google/protobuf/message.h>
#include <optional>
#include <string>
#include <string_view>

namespace burlreach {

inline constexpr const char* JsonType = "application/json";
inline constexpr const char* ProtobufType = "application/x-protobuf";

/** Returns true for a Content-Type that the operators' calls support. */
bool isKnownType(std::string_view contentType);
bool isProtobufType(std::string_view contentType);

/** Decodes a message. Returns what is wrong with the text, or nothing on success. */
std::optional<std::string> decodeMessage(const std::string& text, bool asProtobuf, google::protobuf::Message& message);
std::string encodeMessage(const google::protobuf::Message& message, bool asProtobuf);

}
