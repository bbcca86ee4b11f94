#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <vector>

namespace burlreach {

/** An answer as a caller sees it. */
struct PipelinedAnswer {
    int status = 0;
    std::string outcome; // as the balancer says; empty: it says nothing
    std::string body;
    bool closes = false; // the last one of its connection
};

/** A caller's connection on which searches are sent ahead of the answers. */
class PipelinedConnection {
public:
    explicit PipelinedConnection(std::string host);

    /** False when nobody listens there. */
    bool connect(int port);
    bool isOpen() const { return this->socket.is_open(); }
    void close();
    /**
     * Sends a search for each id at once and reads the answers in their order:
     * as many as come before the connection ends or an answer closes it.
     */
    std::vector<PipelinedAnswer> search(const std::vector<std::string>& ids);

private:
    std::optional<PipelinedAnswer> readAnswer();

    std::string host;
    asio::io_context context;
    asio::ip::tcp::socket socket;
    std::string input; // read, not yet parsed
};

}
