#include "Program/EarlySignals.h"

#include <csignal>
#include <initializer_list>

namespace burlreach {

namespace {

void change(int how)
{
    sigset_t held;
    sigemptyset(&held);
    for (const int signal : { SIGTERM, SIGINT, SIGHUP })
        sigaddset(&held, signal);
    pthread_sigmask(how, &held, nullptr);
}

}

void holdSignals()
{
    change(SIG_BLOCK);
}

void releaseSignals()
{
    change(SIG_UNBLOCK);
}

}
