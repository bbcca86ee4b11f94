#pragma once

#include <google/protobuf/message.h>
#include <optional>
#include <string>
#include <string_view>

namespace burlreach {

inline constexpr const char* JsonType = "application/json";
inline constexpr const char* ProtobufType = "application/x-protobuf";

/** True for a Content-Type that the operators' calls understand. */
bool isKnownType(std::string_view contentType);
bool isProtobufType(std::string_view contentType);

/** Gives what is wrong with the text, or nothing when it was read. */
std::optional<std::string> decodeMessage(const std::string& text, bool asProtobuf, google::protobuf::Message& message);
std::string encodeMessage(const google::protobuf::Message& message, bool asProtobuf);

}
