#include "Tests/Soak/UnrulyCallers.h"

#include <array>
#include <memory>
#include <string>

namespace burlreach {

namespace {

constexpr std::size_t Callers = 60;
/** In bytes, within the limit of 1 MiB. */
constexpr std::size_t BodyBytes = 1000000;

struct Manner {
    const char* fields;
    const char* body; // repeated
    std::size_t bodyBytes;
};

const std::array<Manner, 4> Manners{ {
    { "Content-Length: 1000000\r\n\r\n", "b", BodyBytes - 1 },
    { "Transfer-Encoding: chunked\r\n\r\n", "10\r\nbbbbbbbbbbbbbbbb\r\n", BodyBytes },
    { "Content-Length: 1000000\r\n\r\n", "b", BodyBytes },
    { "Half: of a header\r\n", "", 0 },
} };

CrowdBytes repeated(const std::string& text, std::size_t size)
{
    constexpr std::size_t pieceBytes = 65536;
    auto piece = std::make_shared<std::string>();
    while (piece->size() < pieceBytes)
        *piece += text;
    return { .text = std::move(piece), .size = size };
}

}

UnrulyCallers::UnrulyCallers(std::uint16_t port, std::size_t number)
    : crowd({ .address = { .host = "127.0.0.1", .port = port } })
{
    const Manner& manner = Manners.at(number % Manners.size());
    const auto head = std::make_shared<const std::string>(
        std::string("POST /bookings HTTP/1.1\r\nHost: bookings.example\r\n") + manner.fields);
    for (std::size_t caller = 0; caller < Callers; ++caller) {
        CrowdScript script;
        script.parts.push_back({ .text = head, .size = head->size() });
        if (manner.bodyBytes)
            script.parts.push_back(repeated(manner.body, manner.bodyBytes));
        this->crowd.add(std::move(script));
    }
    this->thread = std::thread([this] { this->crowd.run([] { return true; }); });
}

UnrulyCallers::~UnrulyCallers()
{
    this->thread.join();
}

}
