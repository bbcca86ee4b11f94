#include "Http/OpenConnection.h"

#include "Base/ChronoDuration.h"
#include "Timers/Timer.h"

#include <utility>

namespace burlreach {

void openConnection(
    asio::io_context& context, const NetworkAddress& address, Milliseconds timeout, ConnectionOpened opened)
{
    asio::error_code error;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.host, error), address.port);
    const auto connection = std::make_shared<HttpConnection>(asio::ip::tcp::socket(context));
    const auto timer = std::make_shared<Timer>(context);
    const auto isExpired = std::make_shared<bool>(false);
    timer->expires_after(toDuration(timeout));
    timer->async_wait([connection, isExpired](const asio::error_code& cancelled) {
        if (cancelled)
            return;
        *isExpired = true;
        asio::error_code ignored;
        connection->socket.close(ignored);
    });
    connection->socket.async_connect(
        endpoint, [connection, timer, isExpired, opened = std::move(opened)](const asio::error_code& failure) {
            timer->cancel();
            if (failure)
                return opened(*isExpired ? asio::error::timed_out : failure, nullptr);
            asio::error_code ignored;
            connection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            connection->socket.non_blocking(true, ignored);
            opened({}, connection);
        });
}

void openRelayedConnection(
    asio::io_context& context, const RelayTarget& target, Milliseconds timeout, RelayAnswered answered)
{
    const auto timer = std::make_shared<Timer>(context);
    openConnection(context, target.relay, timeout,
        [timer, timeout, server = target.backendServer, answered = std::move(answered)](
            const asio::error_code& error, const std::shared_ptr<HttpConnection>& connection) {
            if (error)
                return answered({});
            timer->expires_after(toDuration(timeout));
            timer->async_wait([connection](const asio::error_code& cancelled) {
                asio::error_code ignored;
                if (!cancelled)
                    connection->socket.close(ignored);
            });
            requestRelay(connection, server, [timer, answered](const RelayAnswer& answer) {
                timer->cancel();
                answered(answer);
            });
        });
}

}
