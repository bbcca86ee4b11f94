#pragma once

#include "Peers/Http2Session.h"

namespace burlreach {

/** A connection on which this instance sends messages to another one. */
class PeerClientSession final : public Http2Session {
public:
    using Http2Session::Http2Session;

    void send(std::string message) { this->submitMessage(std::move(message)); }
    /** The number of messages that were sent and are not acknowledged yet. */
    std::size_t unacknowledged() const { return this->openStreams(); }

private:
    void bodyReceived(std::int32_t, std::span<const std::uint8_t>) override { }
    void requestEnded(std::int32_t) override { }
    void streamClosed(std::int32_t) override { }
    void sessionClosed() override { }
};

}
