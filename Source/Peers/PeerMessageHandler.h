#pragma once

#include "peers.pb.h"

namespace burlreach {

/** Receives the messages of other instances. */
class PeerMessageHandler {
public:
    virtual ~PeerMessageHandler() = default;
    virtual void peerMessageReceived(peers::PeerMessage message) = 0;
};

}
