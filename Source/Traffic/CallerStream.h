#pragma once

#include "Base/Milliseconds.h"

#include <array>
#include <cstddef>
#include <httplib.h>
#include <string>

namespace burlreach {

/** An accepted connection, as httplib reads and writes it. */
class CallerStream final : public httplib::Stream {
public:
    struct Options {
        Milliseconds readTimeout{ 10000 };
        Milliseconds writeTimeout{ 10000 };
        std::size_t mostRequestBytes = 0;
    };

    CallerStream(socket_t socket, Options options);

    /** Waits for the next request; false when none came or the caller left. */
    bool waitForRequest(Milliseconds wait);
    /** Begins to count the bytes of a request. */
    void beginRequest() { this->requestBytes = 0; }

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* buffer, size_t size) override;
    ssize_t write(const char* data, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return this->fd; }

private:
    bool hasBuffered() const { return this->position < this->filled; }

    socket_t fd;
    Options options;
    std::array<char, 8192> buffer{};
    std::size_t position = 0;
    std::size_t filled = 0;
    std::size_t requestBytes = 0;
};

/** True when the other side has closed the connection or it is broken. */
bool isClosedByPeer(socket_t socket);

}
