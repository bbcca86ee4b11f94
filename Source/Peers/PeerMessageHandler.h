#pragma once

#include "peers.pb.h"

namespace burlreach {

/** Takes the messages of other instances. */
class PeerMessageHandler {
public:
    virtual ~PeerMessageHandler() = default;
    virtual void peerMessageReceived(peers::PeerMessage message) = 0;
};

}
