#include "Http/HttpConnection.h"

#include "Base/Hash.h"

#include <algorithm>

namespace burlreach {

void HttpConnection::noteCarried(std::string_view requestId)
{
    if (!requestId.empty())
        this->carriedIds.push_back(hashOf(requestId));
}

bool HttpConnection::hasCarried(std::string_view requestId) const
{
    return !requestId.empty()
        && std::find(this->carriedIds.begin(), this->carriedIds.end(), hashOf(requestId)) != this->carriedIds.end();
}

bool isOpenAndSilent(HttpConnection& connection)
{
    char byte = 0;
    asio::error_code error;
    connection.socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block || error == asio::error::try_again;
}

}
