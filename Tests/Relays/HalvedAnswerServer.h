#pragma once

#include "Base/NetworkAddress.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace burlreach {

/** How an answer ends, by which its reader knows that it is whole. */
enum class AnswerFraming {
    Length,
    Chunks,
    Connection, // no length: with the connection
    Interim, // the same, behind an interim answer
    ShortOfLength, // the connection ends in order a few bytes before the announced length
    ShortOfLastChunk, // the connection ends in order before the last chunk
    StoppedHead, // the connection ends in order in the middle of the header; the place follows from the request's id
    EndlessBody, // no length, and bytes until the connection is closed
    EndlessChunkLine, // a chunk's line without end
    EndlessHead
};

/** The name of a framing in the path of a request, such as "short-of-length". */
std::string_view nameOf(AnswerFraming framing);
/** True if the server sends such an answer whole. */
bool isWhole(AnswerFraming framing);

/**
 * A backend server of the users' platform that sends the first half of each answer at once and the second half after a
 * pause. The path of a request ends with the framing of its answer and the pause, as "/connection/1000". Each answer
 * has a body of its own and ends its connection. Listens on the loopback interface on a thread of its own.
 */
class HalvedAnswerServer {
public:
    static constexpr std::size_t BodyBytes = 9000;

    HalvedAnswerServer();
    ~HalvedAnswerServer();
    HalvedAnswerServer(const HalvedAnswerServer&) = delete;
    HalvedAnswerServer& operator=(const HalvedAnswerServer&) = delete;

    NetworkAddress address() const;
    /** The server's entry in the store, as a JSON text. */
    std::string entry(const std::string& service) const;
    /** The body of the answer to this request. */
    static std::string bodyFor(const std::string& id);
    /** How often the request with this id ran. */
    std::size_t runs(const std::string& id) const;
    /** The number of answers of which the first half was sent, and nothing more yet. */
    std::size_t inTheMiddle() const { return this->halves; }
    /** The number of answers that were sent to their end. */
    std::size_t sentWhole() const { return this->wholes; }
    /** Resets the connections of all answers that are in the middle. */
    void reset();

private:
    struct Session;

    void accept();
    void read(const std::shared_ptr<Session>& session);
    void answer(const std::shared_ptr<Session>& session, std::string_view head);
    void sendSecondHalf(const std::shared_ptr<Session>& session);
    void sendEndlessly(const std::shared_ptr<Session>& session);
    /** Ends the connection in order and waits until the other side has closed it too. */
    void end(const std::shared_ptr<Session>& session);

    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::list<std::weak_ptr<Session>> sessions;
    std::atomic<std::size_t> halves{ 0 };
    std::atomic<std::size_t> wholes{ 0 };
    mutable std::mutex mutex;
    std::map<std::string, std::size_t> runCounts;
    std::thread thread;
};

}
