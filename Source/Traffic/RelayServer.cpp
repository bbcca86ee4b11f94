#include "Traffic/RelayServer.h"

#include "Http/OpenConnection.h"
#include "Http/RelayRequest.h"
#include "Traffic/ConnectError.h"

#include <utility>

namespace burlreach {

namespace {

RelayReply replyOf(RelayRefusal refusal)
{
    switch (refusal) {
    case RelayRefusal::Stopping:
    case RelayRefusal::UnknownServer:
        break;
    case RelayRefusal::NoPath:
        return RelayReply::NoPath;
    case RelayRefusal::ServiceUnreached:
        return RelayReply::ServiceUnreached;
    case RelayRefusal::ServerRefused:
        return RelayReply::ServerRefused;
    case RelayRefusal::ServerSilent:
        return RelayReply::ServerSilent;
    }
    return RelayReply::Declined;
}

}

RelayServer::RelayServer(asio::io_context& givenContext, Options givenOptions, Dependencies givenParts)
    : context(&givenContext)
    , options(givenOptions)
    , dependencies(givenParts)
    , acceptor(givenContext)
{
}

std::error_code RelayServer::listen(const NetworkAddress& address)
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

void RelayServer::accept()
{
    this->acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (!error)
            this->accepted(std::move(socket));
        if (this->acceptor.is_open())
            this->accept();
    });
}

void RelayServer::accepted(asio::ip::tcp::socket socket)
{
    const RelayNumber number = ++this->lastNumber;
    const auto session = std::make_shared<RelaySession>(
        number, std::move(socket),
        [this](RelayNumber asking, std::string backendServer) {
            this->dependencies.sink->post(RelayAsked{ .relay = asking, .backendServer = std::move(backendServer) });
        },
        [this](RelayNumber ended) {
            this->sessions.erase(ended);
            this->dependencies.metrics->openRelays = this->sessions.size();
        });
    if (this->sessions.size() >= this->options.mostSessions)
        return session->refuse(statusOf(RelayReply::Declined));
    this->sessions.emplace(number, session);
    this->dependencies.metrics->openRelays = this->sessions.size();
    session->start();
}

void RelayServer::execute(const AnswerRelay& action)
{
    const auto found = this->sessions.find(action.relay);
    if (found == this->sessions.end())
        return;
    if (!action.address)
        return found->second->refuse(statusOf(replyOf(action.refusal)));
    openConnection(*this->context, *action.address, this->options.connectTimeout,
        [this, action](const asio::error_code& error, const std::shared_ptr<HttpConnection>& opened) {
            this->connected(action, error, opened);
        });
}

void RelayServer::connected(
    const AnswerRelay& action, const asio::error_code& error, const std::shared_ptr<HttpConnection>& opened)
{
    const ConnectOutcome outcome = connectOutcomeOf(error);
    const auto found = this->sessions.find(action.relay);
    // Answered with another AnswerRelay, which says whose failure it is.
    if (outcome == ConnectOutcome::Refused || outcome == ConnectOutcome::NoAnswer)
        return this->dependencies.sink->post(
            RelayConnectFailed{ .relay = action.relay, .backendServer = action.backendServer, .result = outcome });
    if (found == this->sessions.end())
        return;
    if (outcome == ConnectOutcome::Connected)
        return found->second->forward(opened);
    found->second->refuse(statusOf(RelayReply::Declined));
}

}
