#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/** Blocking sockets on loopback addresses, and HTTP/1.1 messages on them. */
namespace review {

/** An IPv4 address and a port. */
struct Address {
    std::string host;
    int port = 0;

    std::string text() const { return this->host + ":" + std::to_string(this->port); }
};

/** Listens at the address; port 0 is replaced by a free one. Returns -1 if that fails. */
int listenAt(Address& address);
/** A free port of this host. */
int freePort(const std::string& host);
/** Returns -1 if no connection comes up. */
int connectTo(const Address& address);
/** The address at the other end of the connection. */
Address peerOf(int socket);
bool sendAll(int socket, std::string_view bytes);
/** Ends the connection, so that a thread that reads from it returns. */
void shutDown(int socket);

/** An HTTP/1.1 message. */
struct Message {
    std::string firstLine;
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;

    std::string field(const std::string& name) const;
    /** The word of the first line with this number, from 0. */
    std::string word(std::size_t number) const;
    /** Of an answer; 0: none. */
    int status() const;
};

/** Reads messages from a connection. */
class MessageReader {
public:
    explicit MessageReader(int givenSocket)
        : socket(givenSocket)
    {
    }

    /** The next message with a length or in chunks; nothing if the connection ends before it is complete. */
    std::optional<Message> next();

private:
    bool fill();
    std::optional<std::string> line();
    bool take(std::size_t size, std::string& bytes);
    bool takeChunks(std::string& bytes);

    int socket;
    std::string input;
};

}
