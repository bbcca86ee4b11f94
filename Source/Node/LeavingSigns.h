#pragma once

#include "Base/Milliseconds.h"
#include "peers.pb.h"

#include <cstdint>
#include <google/protobuf/repeated_ptr_field.h>
#include <map>
#include <string>

namespace burlreach {

class ServiceTable;

/**
 * Signs of backend servers that they are leaving, heard in their answers, told
 * to the other instances and taken from theirs. The latest sign counts.
 */
class LeavingSigns {
public:
    using Messages = google::protobuf::RepeatedPtrField<peers::LeavingSign>;

    struct Options {
        Milliseconds toldFor{ 3000 }; // an older sign is not passed on any more
    };

    LeavingSigns(Options options, const ServiceTable& services);

    /** True when the sign was news. That of an earlier life of the backend server never is. */
    bool heard(const std::string& backendServer, std::uint64_t life, bool leaving, Milliseconds at);
    void fill(Messages& messages, Milliseconds now);
    bool receive(const Messages& messages, Milliseconds now);

private:
    struct Sign {
        std::uint64_t life = 0;
        bool leaving = false;
        Milliseconds at;
    };

    Options options;
    const ServiceTable* services;
    std::map<std::string, Sign> signs;
};

}
