#pragma once

#include "Base/Milliseconds.h"
#include "Exchange/Outbox.h"
#include "peers.pb.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace burlreach {

/** A run-once request whose right to be sent is asked for. */
struct ClaimRequest {
    std::uint64_t number = 0;
    std::string requestId;
    std::uint32_t attempt = 0; // as the caller gave it; 0: not given
    bool issued = false; // made here: nobody else can have used it
};

/** Asks the owners of request ids for the right to send run-once requests. */
class ClaimClient {
public:
    struct Options {
        Milliseconds firstRepeat{ 25 };
        Milliseconds longestRepeat{ 400 };
    };

    ClaimClient(Options options, peers::Member self);

    void begin(const ClaimRequest& request, Milliseconds now, Outbox& outbox);
    /** The claim is settled; nothing more is asked for it. */
    void end(std::uint64_t number);
    /** Tells the owners that the request was not run and never will be. */
    void close(const ClaimRequest& request, Outbox& outbox);
    void adopt(std::shared_ptr<const peers::Ownership> ownership, Milliseconds now, Outbox& outbox);
    void tick(Milliseconds now, Outbox& outbox);

private:
    struct Pending {
        ClaimRequest request;
        Milliseconds repeatAt;
        Milliseconds gap;
    };

    void send(const ClaimRequest& request, bool close, Outbox& outbox) const;

    Options options;
    peers::Member self;
    std::shared_ptr<const peers::Ownership> ownership;
    std::vector<Pending> pending;
};

}
