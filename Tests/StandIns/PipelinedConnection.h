#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <vector>

namespace burlreach {

/** An answer as its caller receives it. */
struct PipelinedAnswer {
    int status = 0;
    std::string outcome; // value of Burlreach-Outcome; empty: field absent
    std::string body;
    bool closes = false; // the connection closes after this answer
};

/** A caller's connection on which searches are pipelined: sent before earlier answers have arrived. */
class PipelinedConnection {
public:
    explicit PipelinedConnection(std::string host);

    /** Returns false if the connection can't be made. */
    bool connect(int port);
    bool isOpen() const { return this->socket.is_open(); }
    void close();
    /**
     * Sends one search for each id without waiting and returns the answers in the same order, up to the first one that
     * closes the connection or is lost with it.
     */
    std::vector<PipelinedAnswer> search(const std::vector<std::string>& ids);

private:
    std::optional<PipelinedAnswer> readAnswer();

    std::string host;
    asio::io_context context;
    asio::ip::tcp::socket socket;
    std::string input; // bytes read but not yet parsed
};

}
