#pragma once

#include "Base/NetworkAddress.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

namespace burlreach {

/**
 * A backend server on the loopback interface that answers each request with some bytes and then repeats others until
 * the connection is closed. It runs on a thread of its own and sends as fast as the connection takes the bytes.
 */
class EndlessServer {
public:
    struct Options {
        std::string first; // "(id)" stands for the id of the request
        std::string repeated; // the same
    };

    explicit EndlessServer(Options options);
    ~EndlessServer();
    EndlessServer(const EndlessServer&) = delete;
    EndlessServer& operator=(const EndlessServer&) = delete;

    NetworkAddress address() const;
    /** The number of requests received, without probes, which are answered as by a sound server. */
    std::size_t requests() const { return this->requestCount; }
    std::uint64_t bytesSent() const { return this->sentBytes; }
    /** The number of answers that are still being sent. */
    std::size_t openAnswers() const { return this->open; }

private:
    struct Session;

    void accept();
    void read(const std::shared_ptr<Session>& session);
    void answer(const std::shared_ptr<Session>& session);
    /** Sends the next piece, unless sending has failed. */
    void repeat(const std::shared_ptr<Session>& session, const asio::error_code& failure);

    Options options;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::atomic<std::size_t> requestCount{ 0 };
    std::atomic<std::uint64_t> sentBytes{ 0 };
    std::atomic<std::size_t> open{ 0 };
    std::thread thread;
};

}
