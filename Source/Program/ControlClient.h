#pragma once

#include "Base/NetworkAddress.h"

#include <google/protobuf/message.h>
#include <httplib.h>
#include <optional>
#include <string>
#include <string_view>

namespace burlreach {

/** Client for the operators' API of one instance. */
class ControlClient {
public:
    explicit ControlClient(const NetworkAddress& address);

    /** Returns an error message, or nothing when the answer was received and parsed. */
    std::optional<std::string> call(
        std::string_view method, const google::protobuf::Message& request, google::protobuf::Message& answer);

private:
    httplib::Client client;
};

}
