#include "operators.pb.h"
#include "peers.pb.h"

#include <google/protobuf/stubs/common.h>

// Redefines operator new: after all other headers.
#include <CppUTest/CommandLineTestRunner.h>

/** Statics of the libraries are made before the leak check begins. */
static void prepareLibraries()
{
    GOOGLE_PROTOBUF_VERIFY_VERSION;
    burlreach::peers::PeerMessage().GetTypeName();
    burlreach::v1::ShowCountersAnswer().DebugString();
    burlreach::peers::PeerMessage().DebugString();
}

int main(int argc, char** argv)
{
    prepareLibraries();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
