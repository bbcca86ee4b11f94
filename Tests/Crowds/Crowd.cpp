#include "Tests/Crowds/Crowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace burlreach {

namespace {

constexpr std::size_t ReadSize = 65536;
/** Of an answer only its beginning is kept. */
constexpr std::size_t KeptBytes = 1024;
constexpr auto Pause = std::chrono::milliseconds(1);

sockaddr_in socketAddress(const NetworkAddress& address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

std::string fieldOf(const std::string& text, std::string_view name)
{
    const std::string start = "\r\n" + std::string(name) + ": ";
    const std::size_t place = text.find(start);
    if (place == std::string::npos)
        return {};
    const std::size_t value = place + start.size();
    return text.substr(value, text.find("\r\n", value) - value);
}

/** The first answer of these bytes; its status is 0 if there is none. */
CrowdAnswer answerOf(const std::string& text)
{
    constexpr std::string_view start = "HTTP/1.1 ";
    CrowdAnswer answer;
    if (!text.starts_with(start))
        return answer;
    std::from_chars(text.data() + start.size(), text.data() + text.size(), answer.status);
    answer.id = fieldOf(text, "Request-Id");
    answer.retryAfter = fieldOf(text, "Retry-After");
    return answer;
}

}

struct Crowd::Caller {
    CrowdScript script;
    int handle = -1;
    bool isConnected = false;
    bool isOver = false; // the connection has ended
    std::size_t part = 0; // that is being sent
    std::size_t sent = 0; // bytes of this part
    std::size_t received = 0;
    std::string beginning; // of what was received
};

Crowd::Crowd(const Options& givenOptions)
    : options(givenOptions)
{
}

Crowd::~Crowd()
{
    for (const auto& caller : this->callers) {
        if (caller->handle >= 0)
            close(caller->handle);
    }
}

void Crowd::add(CrowdScript script)
{
    auto caller = std::make_unique<Caller>();
    caller->script = std::move(script);
    this->callers.push_back(std::move(caller));
}

bool Crowd::connect(Caller& caller)
{
    const sockaddr_in address = socketAddress(this->options.address);
    if (caller.handle < 0) {
        const auto now = std::chrono::steady_clock::now();
        if (now < this->nextStart)
            return true;
        this->nextStart = now + this->options.startInterval;
        caller.handle = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const int result = ::connect(caller.handle, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        caller.isOver = result && errno != EINPROGRESS;
        return true;
    }
    pollfd state{ .fd = caller.handle, .events = POLLOUT, .revents = 0 };
    if (poll(&state, 1, 0) <= 0)
        return false;
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(caller.handle, SOL_SOCKET, SO_ERROR, &error, &size);
    caller.isConnected = error == 0;
    caller.isOver = error != 0;
    return true;
}

bool Crowd::send(Caller& caller) const
{
    std::size_t turn = 0;
    while (caller.part < caller.script.parts.size()) {
        const CrowdBytes& part = caller.script.parts[caller.part];
        if (caller.sent == part.size) {
            ++caller.part;
            caller.sent = 0;
            continue;
        }
        const std::size_t at = caller.sent % part.text->size();
        std::size_t size = std::min(part.text->size() - at, part.size - caller.sent);
        if (this->options.pieceBytes)
            size = std::min(size, this->options.pieceBytes - turn);
        if (!size)
            break;
        const auto written = ::send(caller.handle, part.text->data() + at, size, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (written <= 0) {
            caller.isOver = errno != EAGAIN && errno != EWOULDBLOCK;
            break;
        }
        caller.sent += static_cast<std::size_t>(written);
        turn += static_cast<std::size_t>(written);
        // Other callers are served in between, also by a caller that could go on.
        if (!this->options.pieceBytes && turn >= part.text->size())
            break;
    }
    return turn > 0 || caller.isOver;
}

bool Crowd::receive(Caller& caller)
{
    std::array<char, ReadSize> bytes{};
    const auto size = recv(caller.handle, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        return false;
    if (size <= 0) {
        caller.isOver = true;
        return true;
    }
    const std::size_t kept = std::min(KeptBytes - caller.beginning.size(), static_cast<std::size_t>(size));
    caller.beginning.append(bytes.data(), kept);
    caller.received += static_cast<std::size_t>(size);
    return true;
}

bool Crowd::step(Caller& caller)
{
    if (caller.isOver)
        return false;
    if (!caller.isConnected)
        return this->connect(caller);
    const bool hasSent = this->send(caller);
    // What the instance said before it ended the connection is read also after a failed write.
    const bool hasReceived = this->options.readsAnswers && receive(caller);
    return hasSent || hasReceived;
}

void Crowd::run(const std::function<bool()>& isEnough)
{
    constexpr auto silence = std::chrono::milliseconds(500);
    auto lastProgress = std::chrono::steady_clock::now();
    while (true) {
        bool hasProgress = false;
        for (const auto& caller : this->callers)
            hasProgress = this->step(*caller) || hasProgress;
        const bool isDone = isEnough();
        const auto now = std::chrono::steady_clock::now();
        if (hasProgress) {
            lastProgress = now;
            continue;
        }
        if (isDone && now - lastProgress > silence)
            return;
        std::this_thread::sleep_for(Pause);
    }
}

std::vector<CrowdAnswer> Crowd::answers() const
{
    std::vector<CrowdAnswer> answers;
    for (const auto& caller : this->callers) {
        CrowdAnswer answer = answerOf(caller->beginning);
        // A refusal of what was not read whole does not name its request.
        if (answer.id.empty() && caller->script.ids.size() == 1)
            answer.id = caller->script.ids.front();
        if (answer.status)
            answers.push_back(answer);
    }
    return answers;
}

std::vector<std::string> Crowd::ids() const
{
    std::vector<std::string> ids;
    for (const auto& caller : this->callers)
        ids.insert(ids.end(), caller->script.ids.begin(), caller->script.ids.end());
    return ids;
}

std::size_t Crowd::receivedBytes() const
{
    std::size_t sum = 0;
    for (const auto& caller : this->callers)
        sum += caller->received;
    return sum;
}

CrowdAnswer callOnce(const NetworkAddress& address, const std::string& request)
{
    const sockaddr_in target = socketAddress(address);
    const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval patience{ .tv_sec = 10, .tv_usec = 0 };
    setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
    setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    std::string text;
    if (!::connect(handle, reinterpret_cast<const sockaddr*>(&target), sizeof target)) {
        ::send(handle, request.data(), request.size(), MSG_NOSIGNAL);
        std::array<char, KeptBytes> bytes{};
        while (text.find("\r\n\r\n") == std::string::npos) {
            const auto size = recv(handle, bytes.data(), bytes.size(), 0);
            if (size <= 0)
                break;
            text.append(bytes.data(), static_cast<std::size_t>(size));
        }
    }
    close(handle);
    return answerOf(text);
}

}
