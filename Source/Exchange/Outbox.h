#pragma once

#include "Base/NetworkAddress.h"
#include "Exchange/StoreRequest.h"
#include "peers.pb.h"

namespace burlreach {

/** Takes what the decision objects want sent to other processes. */
class Outbox {
public:
    virtual ~Outbox() = default;
    virtual void askStore(StoreRequest request) = 0;
    virtual void sendToPeer(const NetworkAddress& address, peers::PeerMessage message) = 0;
};

}
