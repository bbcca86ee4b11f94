#include "Program/ControlClient.h"

#include "Operators/MessageCodec.h"

#include <chrono>

namespace burlreach {

namespace {

constexpr std::chrono::seconds ConnectTimeout{ 3 };
constexpr std::chrono::seconds AnswerTimeout{ 30 };

}

ControlClient::ControlClient(const NetworkAddress& address)
    : client(address.host, address.port)
{
    this->client.set_connection_timeout(ConnectTimeout);
    this->client.set_read_timeout(AnswerTimeout);
}

std::optional<std::string> ControlClient::call(
    std::string_view method, const google::protobuf::Message& request, google::protobuf::Message& answer)
{
    const std::string path = "/burlreach.v1.Operators/" + std::string(method);
    const auto result = this->client.Post(path, encodeMessage(request, true), ProtobufType);
    if (!result)
        return "the instance did not answer (" + httplib::to_string(result.error())
            + "); check --address or name another instance";
    const bool asProtobuf = isProtobufType(result->get_header_value("Content-Type"));
    return decodeMessage(result->body, asProtobuf, answer);
}

}
