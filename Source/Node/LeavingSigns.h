#pragma once

#include "Base/Milliseconds.h"
#include "Routing/NoticeBook.h"
#include "peers.pb.h"

#include <cstdint>
#include <google/protobuf/repeated_ptr_field.h>
#include <map>
#include <string>
#include <vector>

namespace burlreach {

class ServiceTable;

/** A backend server was found to be leaving. */
struct LeavingServer {
    std::string backendServer;
    bool isHeardHere = false; // in an answer; else another instance told it
};

/**
 * Signs of backend servers that they are leaving, heard in their answers, told
 * to the other instances and taken from theirs. None is ever taken back: a
 * health answer may lie, and only a later life of the server may be sent
 * requests again.
 */
class LeavingSigns {
public:
    using Messages = google::protobuf::RepeatedPtrField<peers::LeavingSign>;

    struct Options {
        Milliseconds toldFor{ 3000 }; // an older sign is not passed on any more
    };

    /** Both outlive this object. */
    LeavingSigns(Options options, NoticeBook& book, const ServiceTable& services);

    /** A server of this life said so in an answer. */
    void heard(const std::string& backendServer, std::uint64_t life, Milliseconds now);
    void fill(Messages& messages, Milliseconds now);
    void receive(const Messages& messages, Milliseconds now);
    /** Those found since the last call that are in use here and whose record does not say so. */
    std::vector<LeavingServer> takeFound();

private:
    struct Sign {
        std::uint64_t life = 0;
        Milliseconds at;
    };

    void note(const std::string& backendServer, const Sign& sign, bool isHeardHere);

    Options options;
    NoticeBook* book;
    const ServiceTable* services;
    std::map<std::string, Sign> signs;
    std::vector<LeavingServer> found;
};

}
