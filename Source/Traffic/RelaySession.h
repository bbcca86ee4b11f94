#pragma once

#include "Http/HttpConnection.h"
#include "Reachability/RelayNumber.h"
#include "Timers/Timer.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace burlreach {

/**
 * One connection that this instance relays for another one: receives the CONNECT request, answers it, and then
 * forwards bytes in both directions until one side closes. A reset by the server is passed on as a reset, because an
 * answer without a length is complete only after an orderly close. The end of this process closes its connections in
 * order too, so the server's bytes are sent in chunks, and the last chunk tells that the server has ended. The kernel
 * reports a reset once, to a write to the server if one is in progress.
 */
class RelaySession : public std::enable_shared_from_this<RelaySession> {
public:
    /** Called with the id of the backend server that the other instance wants to reach. */
    using Asked = std::function<void(RelayNumber number, std::string backendServer)>;
    using Ended = std::function<void(RelayNumber number)>;

    RelaySession(RelayNumber number, asio::ip::tcp::socket socket, Asked asked, Ended ended);

    void start();
    /** Answers with an error status and closes. */
    void refuse(unsigned status);
    /** Answers that the connection to the server is established, and forwards from now on. */
    void forward(const std::shared_ptr<HttpConnection>& toServer);
    /** True while the other instance waits for the answer to its request. */
    bool isOpen() const { return !this->isOver; }

private:
    static constexpr std::size_t BufferSize = 8192;

    /** One direction of forwarding. */
    struct Direction {
        std::array<char, BufferSize> buffer{};
    };

    void readRequest();
    void requestReceived(std::size_t size);
    void write(unsigned status, std::function<void()> written);
    void watchForClose();
    void fromInstance();
    void fromServer();
    /** What tells the other instance these bytes of the server, which are in its buffer. */
    std::array<asio::const_buffer, 3> serverBytes(std::size_t size);
    /** The server has ended its side; ends the session once the write to the server has ended too. */
    void serverEnded();
    void restartTimer(std::chrono::milliseconds duration);
    /** Lets the end reset the connection to the server: what it has not got of the request is not delivered later. */
    void dropUndelivered();
    /** Closes both connections; with `isReset`, by resets. */
    void end(bool isReset);

    RelayNumber number;
    asio::ip::tcp::socket instance;
    std::shared_ptr<HttpConnection> server; // null until it is established
    Asked asked;
    Ended ended;
    Timer timer;
    Direction toServer;
    Direction toInstance;
    std::string input; // of the request
    bool sendsChunks = false; // an instance of an older version reads none
    std::string chunkHead; // of the chunk that is being written
    bool isWritingToServer = false;
    bool hasWriteFailed = false; // of a write to the server
    bool hasServerEnded = false;
    bool isOver = false;
};

}
