#include "Case.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string_view>
#include <unistd.h>

namespace review {

Case::Case(int argumentCount, char** arguments)
{
    constexpr int needed = 3;
    if (argumentCount < needed) {
        std::cerr << "Arguments: FOLDER RECORD\n";
        std::_Exit(static_cast<int>(Verdict::CouldNotRun));
    }
    this->workFolder = arguments[1];
    this->file.open(arguments[2]);
    const char* trouble = std::getenv("TROUBLE");
    this->isTroubled = !trouble || std::string_view(trouble) != "0";
    this->record(this->isTroubled ? "with the disruption" : "TROUBLE=0: without the disruption");
}

void Case::record(const std::string& line)
{
    const std::chrono::duration<double> since = std::chrono::steady_clock::now() - this->began;
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f s  ", since.count());
    const std::lock_guard lock(this->mutex);
    this->file << time.data() << line << '\n' << std::flush;
}

std::string Case::newId()
{
    const std::lock_guard lock(this->mutex);
    std::array<char, 32> id{};
    std::snprintf(id.data(), id.size(), "%08x%08x", static_cast<unsigned>(getpid()), ++this->ids);
    return id.data();
}

void Case::end(Verdict verdict, const std::string& why)
{
    constexpr std::array<const char*, 3> names{ "held", "BROKEN", "could not run" };
    const std::string text = std::string(names.at(static_cast<std::size_t>(verdict))) + ": " + why;
    this->record(text);
    std::cout << text << std::endl;
    std::_Exit(static_cast<int>(verdict));
}

Caller::Caller(Case& givenCase, const Address& instance)
    : thisCase(&givenCase)
    , socket(connectTo(instance))
    , reader(this->socket)
{
}

Caller::~Caller()
{
    close(this->socket);
}

std::string Caller::send(
    const std::string& method, const std::string& host, const std::string& path, const std::string& body, int deadline)
{
    std::string id = this->thisCase->newId();
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id
        + "\r\nDeadline-Ms: " + std::to_string(deadline) + "\r\n";
    if (method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    this->thisCase->record("caller sends " + id + ": " + method + " " + path + ", " + std::to_string(body.size())
        + " bytes, deadline " + std::to_string(deadline) + " ms");
    sendAll(this->socket, text + "\r\n" + body);
    return id;
}

std::optional<Message> Caller::answer()
{
    return this->reader.next();
}

}
