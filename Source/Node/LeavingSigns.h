#pragma once

#include "Base/Milliseconds.h"
#include "Routing/NoticeRegistry.h"
#include "peers.pb.h"

#include <cstdint>
#include <google/protobuf/repeated_ptr_field.h>
#include <map>
#include <string>
#include <vector>

namespace burlreach {

class ServiceTable;

/** A backend server that was found to be leaving. */
struct LeavingServer {
    std::string backendServer;
    bool isFromServer = false; // from the server's own answer to this instance; otherwise from another instance
};

/**
 * Collects leaving notices of backend servers, from their answers to this
 * instance and from messages of other instances, and sends them to other
 * instances. A notice is never revoked, because a server's health answer may be
 * wrong: only a later life of the server may receive requests again.
 */
class LeavingSigns {
public:
    using Messages = google::protobuf::RepeatedPtrField<peers::LeavingSign>;

    struct Options {
        Milliseconds sendFor{ 3000 }; // older notices are no longer sent to other instances
    };

    /** The referenced objects must outlive this one. */
    LeavingSigns(Options options, NoticeRegistry& book, const ServiceTable& services);

    /** Records that the server announced in an answer that it is leaving. */
    void addOwn(const std::string& backendServer, std::uint64_t life, Milliseconds now);
    /** Appends the recent notices to a message to another instance. */
    void fill(Messages& messages, Milliseconds now);
    void receive(const Messages& messages, Milliseconds now);
    /** Servers found since the last call that are in use here and whose store record is not marked as draining. */
    std::vector<LeavingServer> takeNewlyLeaving();

private:
    struct Sign {
        std::uint64_t life = 0;
        Milliseconds at;
    };

    void record(const std::string& backendServer, const Sign& sign, bool isFromServer);

    Options options;
    NoticeRegistry* registry;
    const ServiceTable* services;
    std::map<std::string, Sign> signs;
    std::vector<LeavingServer> foundServers;
};

}
