#include "Peers/PeerServer.h"

#include <algorithm>
#include <utility>

namespace burlreach {

PeerServer::PeerServer(asio::io_context& context, PeerMessageHandler& givenHandler, TrafficMetrics& givenMetrics)
    : acceptor(context)
    , handler(&givenHandler)
    , metrics(&givenMetrics)
{
}

std::error_code PeerServer::listen(const NetworkAddress& address)
{
    asio::error_code error;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.host, error), address.port);
    if (!error)
        this->acceptor.open(endpoint.protocol(), error);
    if (!error)
        this->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    if (!error)
        this->acceptor.bind(endpoint, error);
    if (!error)
        this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (!error)
        this->accept();
    return error;
}

void PeerServer::accept()
{
    this->acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (!this->acceptor.is_open())
            return;
        if (!error)
            this->accepted(std::move(socket));
        this->accept();
    });
}

void PeerServer::accepted(asio::ip::tcp::socket socket)
{
    const auto session = std::make_shared<PeerServerSession>(std::move(socket), *this->handler, *this->metrics);
    session->open();
    std::erase_if(this->sessions, [](const auto& item) { return item.expired(); });
    if (this->sessions.size() >= this->maxSessions)
        this->closeLeastUseful();
    this->sessions.push_back(session);
}

void PeerServer::closeLeastUseful()
{
    const auto hasSentNothing = [](const std::weak_ptr<PeerServerSession>& item) {
        const auto session = item.lock();
        return !session || !session->messages();
    };
    auto chosen = std::find_if(this->sessions.begin(), this->sessions.end(), hasSentNothing);
    if (chosen == this->sessions.end())
        chosen = this->sessions.begin();
    if (const auto session = chosen->lock())
        session->close();
    this->sessions.erase(chosen);
}

void PeerServer::close()
{
    asio::error_code ignored;
    this->acceptor.close(ignored);
    for (const auto& item : this->sessions) {
        if (const auto session = item.lock())
            session->close();
    }
}

}
