#include "Node/LeavingSigns.h"

#include "Node/ServiceTable.h"

namespace burlreach {

LeavingSigns::LeavingSigns(Options givenOptions, const ServiceTable& givenServices)
    : options(givenOptions)
    , services(&givenServices)
{
}

bool LeavingSigns::heard(const std::string& backendServer, std::uint64_t life, bool leaving, Milliseconds at)
{
    const auto server = this->services->backendServer(backendServer);
    if (!server || server->record().life != life || !server->leavingSign(leaving, at))
        return false;
    this->signs[backendServer] = { .life = life, .leaving = leaving, .at = at };
    return true;
}

void LeavingSigns::fill(Messages& messages, Milliseconds now)
{
    std::erase_if(this->signs, [&](const auto& item) { return now - item.second.at > this->options.toldFor; });
    for (const auto& [backendServer, sign] : this->signs) {
        peers::LeavingSign* message = messages.Add();
        message->set_backend_server(backendServer);
        message->set_life(sign.life);
        message->set_leaving(sign.leaving);
        message->set_age_milliseconds(static_cast<std::uint32_t>((now - sign.at).count));
    }
}

bool LeavingSigns::receive(const Messages& messages, Milliseconds now)
{
    bool isNews = false;
    for (const peers::LeavingSign& message : messages) {
        const Milliseconds age{ static_cast<double>(message.age_milliseconds()) };
        isNews = this->heard(message.backend_server(), message.life(), message.leaving(), now - age) || isNews;
    }
    return isNews;
}

}
