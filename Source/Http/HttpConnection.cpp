#include "Http/HttpConnection.h"

namespace burlreach {

bool isOpenAndSilent(HttpConnection& connection)
{
    char byte = 0;
    asio::error_code error;
    connection.socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block || error == asio::error::try_again;
}

}
