#pragma once

#include "Metrics/TrafficMetrics.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace burlreach {

/** The largest message that instances send to each other and accept. */
inline constexpr std::size_t MaximumPeerMessageBytes = 2097152;

/** The request path of messages of this protocol version. */
inline constexpr std::string_view PeerMessagePath = "/burlreach.peers.v1";

/**
 * An HTTP/2 connection between two instances: nghttp2 does the framing, Asio the
 * input and output. Each message is the body of a request on a stream of its
 * own. Pending reads and writes keep the session alive.
 */
class Http2Session : public std::enable_shared_from_this<Http2Session> {
public:
    enum class Side {
        Client,
        Server
    };

    Http2Session(asio::ip::tcp::socket socket, Side side, TrafficMetrics& metrics);
    virtual ~Http2Session();
    Http2Session(const Http2Session&) = delete;
    Http2Session& operator=(const Http2Session&) = delete;

    /** Sends the HTTP/2 settings and starts to read. */
    void open();
    void close();
    bool isOpen() const { return this->socket.is_open() && !this->isClosed; }

protected:
    /** Sends a request with this body; streamClosed() is called when it has ended. */
    void submitMessage(std::string body);
    /** Sends an answer with this status and no body. */
    void submitStatus(std::int32_t stream, std::string_view status);
    /** The number of requests sent whose streams are still open. */
    std::size_t openStreams() const { return this->bodies.size(); }

    virtual void bodyReceived(std::int32_t stream, std::span<const std::uint8_t> part) = 0;
    virtual void requestEnded(std::int32_t stream) = 0;
    virtual void streamClosed(std::int32_t stream) = 0;
    virtual void sessionClosed() = 0;

    asio::ip::tcp::socket socket;

private:
    /** A message that was submitted and its progress; kept until its stream is closed. */
    struct Body {
        std::int32_t stream = 0;
        std::string bytes;
        std::size_t sent = 0; // bytes passed to nghttp2
    };

    static int onData(nghttp2_session* session, std::uint8_t flags, std::int32_t stream, const std::uint8_t* data,
        std::size_t size, void* user);
    static int onFrame(nghttp2_session* session, const nghttp2_frame* frame, void* user);
    static int onStreamClose(nghttp2_session* session, std::int32_t stream, std::uint32_t error, void* user);
    static ssize_t readBody(nghttp2_session* session, std::int32_t stream, std::uint8_t* buffer, std::size_t size,
        std::uint32_t* flags, nghttp2_data_source* source, void* user);

    void read();
    void flush();
    ssize_t copyBody(std::int32_t stream, std::span<std::uint8_t> buffer, std::uint32_t& flags);

    TrafficMetrics* metrics;
    nghttp2_session* session = nullptr;
    std::array<std::uint8_t, 16384> input{};
    std::vector<std::uint8_t> output;
    bool isWriting = false;
    bool isClosed = false;
    std::deque<Body> bodies;
};

}
