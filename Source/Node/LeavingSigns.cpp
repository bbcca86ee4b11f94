#include "Node/LeavingSigns.h"

#include "Node/ServiceTable.h"

#include <utility>

namespace burlreach {

LeavingSigns::LeavingSigns(Options givenOptions, NoticeRegistry& givenBook, const ServiceTable& givenServices)
    : options(givenOptions)
    , registry(&givenBook)
    , services(&givenServices)
{
}

void LeavingSigns::record(const std::string& backendServer, const Sign& sign, bool isFromServer)
{
    // Notices are kept also for servers without a record, because the record may be written again.
    if (!this->registry->recordLeaving(backendServer, sign.life, sign.at))
        return;
    const auto server = this->services->backendServer(backendServer);
    if (!server || server->record().life != sign.life)
        return;
    server->setLeaving();
    // All instances learn this from the record, so no notice needs to be sent.
    if (server->record().draining)
        return;
    this->signs[backendServer] = sign;
    this->foundServers.push_back({ .backendServer = backendServer, .isFromServer = isFromServer });
}

void LeavingSigns::addOwn(const std::string& backendServer, std::uint64_t life, Milliseconds now)
{
    this->record(backendServer, { .life = life, .at = now }, true);
}

void LeavingSigns::fill(Messages& messages, Milliseconds now)
{
    std::erase_if(this->signs, [&](const auto& item) { return now - item.second.at > this->options.sendFor; });
    for (const auto& [backendServer, sign] : this->signs) {
        peers::LeavingSign* message = messages.Add();
        message->set_backend_server(backendServer);
        message->set_life(sign.life);
        message->set_leaving(true);
        message->set_age_milliseconds(static_cast<std::uint32_t>((now - sign.at).count));
    }
}

void LeavingSigns::receive(const Messages& messages, Milliseconds now)
{
    for (const peers::LeavingSign& message : messages) {
        const Sign sign{ .life = message.life(),
            .at = now - Milliseconds{ static_cast<double>(message.age_milliseconds()) } };
        if (message.leaving())
            this->record(message.backend_server(), sign, false);
    }
}

std::vector<LeavingServer> LeavingSigns::takeNewlyLeaving()
{
    return std::exchange(this->foundServers, {});
}

}
