#include "Peers/Http2Session.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>

namespace burlreach {

namespace {

constexpr std::uint32_t ConcurrentStreams = 1000;
constexpr std::uint32_t WindowBytes = 4194304;
constexpr std::size_t MaxOutputBytes = 65536; // collected for one write

nghttp2_nv header(std::string_view name, std::string_view value)
{
    nghttp2_nv pair{};
    // The casts are safe because nghttp2 copies the name and the value and modifies neither.
    pair.name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data()));
    pair.namelen = name.size();
    pair.value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data()));
    pair.valuelen = value.size();
    return pair;
}

Http2Session& sessionOf(void* user)
{
    return *static_cast<Http2Session*>(user);
}

}

Http2Session::Http2Session(asio::ip::tcp::socket givenSocket, Side side, TrafficMetrics& givenMetrics)
    : socket(std::move(givenSocket))
    , metrics(&givenMetrics)
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &Http2Session::onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &Http2Session::onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &Http2Session::onStreamClose);
    if (side == Side::Server)
        nghttp2_session_server_new(&this->session, callbacks, this);
    else
        nghttp2_session_client_new(&this->session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
}

Http2Session::~Http2Session()
{
    nghttp2_session_del(this->session);
}

void Http2Session::open()
{
    asio::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const std::array<nghttp2_settings_entry, 2> settings{ {
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, ConcurrentStreams },
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, WindowBytes },
    } };
    nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(this->session, NGHTTP2_FLAG_NONE, 0, WindowBytes);
    this->flush();
    this->read();
}

void Http2Session::close()
{
    if (this->isClosed)
        return;
    this->isClosed = true;
    asio::error_code ignored;
    this->socket.close(ignored);
    this->sessionClosed();
}

void Http2Session::submitMessage(std::string body)
{
    const std::array<nghttp2_nv, 4> headers{
        header(":method", "POST"),
        header(":scheme", "http"),
        header(":path", PeerMessagePath),
        header(":authority", "burlreach"),
    };
    nghttp2_data_provider provider{};
    provider.read_callback = &Http2Session::readBody;
    const std::int32_t stream
        = nghttp2_submit_request(this->session, nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (stream < 0)
        return this->close();
    this->bodies.push_back({ .stream = stream, .bytes = std::move(body), .sent = 0 });
    this->flush();
}

void Http2Session::submitStatus(std::int32_t stream, std::string_view status)
{
    const nghttp2_nv pair = header(":status", status);
    nghttp2_submit_response(this->session, stream, &pair, 1, nullptr);
}

void Http2Session::read()
{
    this->socket.async_read_some(
        asio::buffer(this->input), [self = this->shared_from_this()](const asio::error_code& error, std::size_t size) {
            if (error || self->isClosed)
                return self->close();
            self->metrics->peerBytesReceived += size;
            const auto used = nghttp2_session_mem_recv(self->session, self->input.data(), size);
            if (used < 0) {
                ++self->metrics->peerMessagesInvalid;
                return self->close();
            }
            self->flush();
            if (!self->isClosed)
                self->read();
        });
}

void Http2Session::flush()
{
    if (this->isWriting || this->isClosed)
        return;
    this->output.clear();
    while (this->output.size() < MaxOutputBytes) {
        const std::uint8_t* data = nullptr;
        const ssize_t size = nghttp2_session_mem_send(this->session, &data);
        if (size < 0)
            return this->close();
        if (!size)
            break;
        this->output.insert(this->output.end(), data, data + size);
    }
    if (this->output.empty())
        return;
    this->isWriting = true;
    asio::async_write(this->socket, asio::buffer(this->output),
        [self = this->shared_from_this()](const asio::error_code& error, std::size_t size) {
            self->isWriting = false;
            self->metrics->peerBytesSent += size;
            if (error)
                return self->close();
            self->flush();
        });
}

int Http2Session::onData(
    nghttp2_session*, std::uint8_t, std::int32_t stream, const std::uint8_t* data, std::size_t size, void* user)
{
    sessionOf(user).bodyReceived(stream, { data, size });
    return 0;
}

int Http2Session::onFrame(nghttp2_session*, const nghttp2_frame* frame, void* user)
{
    const bool endsStream = frame->hd.flags & NGHTTP2_FLAG_END_STREAM;
    const bool isRequestFrame = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (endsStream && isRequestFrame)
        sessionOf(user).requestEnded(frame->hd.stream_id);
    return 0;
}

int Http2Session::onStreamClose(nghttp2_session*, std::int32_t stream, std::uint32_t, void* user)
{
    Http2Session& self = sessionOf(user);
    std::erase_if(self.bodies, [stream](const Body& body) { return body.stream == stream; });
    self.streamClosed(stream);
    return 0;
}

ssize_t Http2Session::readBody(nghttp2_session*, std::int32_t stream, std::uint8_t* buffer, std::size_t size,
    std::uint32_t* flags, nghttp2_data_source*, void* user)
{
    return sessionOf(user).copyBody(stream, { buffer, size }, *flags);
}

ssize_t Http2Session::copyBody(std::int32_t stream, std::span<std::uint8_t> buffer, std::uint32_t& flags)
{
    const auto body = std::find_if(
        this->bodies.begin(), this->bodies.end(), [stream](const Body& item) { return item.stream == stream; });
    if (body == this->bodies.end())
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    const std::size_t size = std::min(buffer.size(), body->bytes.size() - body->sent);
    std::copy_n(body->bytes.begin() + static_cast<std::ptrdiff_t>(body->sent), size, buffer.begin());
    body->sent += size;
    if (body->sent == body->bytes.size())
        flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(size);
}

}
