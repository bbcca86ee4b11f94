// Replaces the system's connect() in a program that tests run. It refuses connections to the ports that a file lists,
// as a network does that has cut the path of one process, while other processes still reach the same ports. Open
// connections live on.

#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

bool isCut(const sockaddr* address)
{
    static const char* const path = std::getenv("CUT_PORTS");
    if (!path || address->sa_family != AF_INET)
        return false;
    const unsigned wanted = ntohs(reinterpret_cast<const sockaddr_in*>(address)->sin_port);
    std::ifstream file(path);
    for (unsigned port = 0; file >> port;) {
        if (port == wanted)
            return true;
    }
    return false;
}

}

extern "C" int connect(int handle, const sockaddr* address, socklen_t size)
{
    if (isCut(address)) {
        errno = ECONNREFUSED;
        return -1;
    }
    return static_cast<int>(syscall(SYS_connect, handle, address, size));
}
