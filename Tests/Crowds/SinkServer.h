#pragma once

#include "Base/NetworkAddress.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace burlreach {

/**
 * A backend server of the users' platform that reads requests without keeping their bodies and counts how often each
 * one ran. Listens on the loopback interface on a thread of its own.
 */
class SinkServer {
public:
    struct Options {
        std::chrono::milliseconds workTime{ 0 }; // from the end of a request to its answer
        std::size_t answerBytes = 2; // of the body of each answer
        /** Answers uploads of more than a megabyte at once, without a length, and resets the connection. */
        bool answersUploadsEarly = false;
    };

    explicit SinkServer(Options givenOptions);
    ~SinkServer();
    SinkServer(const SinkServer&) = delete;
    SinkServer& operator=(const SinkServer&) = delete;

    NetworkAddress address() const;
    /** The value of its entry in the store, as a server of this service. */
    std::string entry(const std::string& service) const;
    /** How often the request with this id was read whole. */
    std::size_t runs(const std::string& id) const;

private:
    struct Session;

    void accept();
    void readHead(const std::shared_ptr<Session>& session);
    void readBody(const std::shared_ptr<Session>& session, std::size_t left);
    void work(const std::shared_ptr<Session>& session);
    void answerEarly(const std::shared_ptr<Session>& session);
    void answer(const std::shared_ptr<Session>& session);

    Options options;
    std::string body; // of each answer
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    mutable std::mutex mutex;
    std::map<std::string, std::size_t> runCounts;
    std::thread thread;
};

}
