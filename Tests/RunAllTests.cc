#include "operators.pb.h"
#include "peers.pb.h"

#include <google/protobuf/stubs/common.h>
#include <google/protobuf/type.pb.h>
#include <google/protobuf/util/json_util.h>
#include <httplib.h>
#include <string>
#include <thread>

// Redefines operator new: after all other headers.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

namespace {

/** Makes protobuf build the descriptors and type resolvers that it creates on first use of a message type. */
template <typename Message>
void useOnce()
{
    Message message;
    std::string text;
    (void)google::protobuf::util::MessageToJsonString(message, &text);
    (void)google::protobuf::util::JsonStringToMessage(text, &message);
    (void)message.DebugString();
}

/** Initialises the static data of the libraries before leak detection begins. */
void prepareLibraries()
{
    GOOGLE_PROTOBUF_VERIFY_VERSION;
    google::protobuf::SetLogHandler(nullptr);
    (void)google::protobuf::Type::descriptor();
    (void)google::protobuf::Type().DebugString();
    useOnce<burlreach::peers::PeerMessage>();
    useOnce<burlreach::v1::ChangeRequest>();
    useOnce<burlreach::v1::Configuration>();
    useOnce<burlreach::v1::ShowCountersAnswer>();
    burlreach::v1::Configuration configuration;
    const char* text = R"({"revision": 1, "services": [{"name": "a", "rules": [{"repeat": "RUN_ONCE"}]}]})";
    (void)google::protobuf::util::JsonStringToMessage(text, &configuration);
    burlreach::v1::ChangeRequest change;
    const char* call = R"({"change_id": "a", "set_limits": {"service": "b", "limits": {"retry_percent": 10}}, "x": 1})";
    (void)google::protobuf::util::JsonStringToMessage(call, &change);
    // Truncated input makes every kind of parse error occur once as well.
    for (std::string cut = call; !cut.empty(); cut.pop_back())
        (void)google::protobuf::util::JsonStringToMessage(cut, &change);
}

/** Makes httplib create its static data, which it does when it reads its first request and answer. */
void useHttpOnce()
{
    httplib::Server server;
    server.Get(
        "/", [](const httplib::Request&, httplib::Response& response) { response.set_content("ok", "text/plain"); });
    const int port = server.bind_to_any_port("127.0.0.1");
    std::thread listening([&server] { server.listen_after_bind(); });
    httplib::Client client("127.0.0.1", port);
    (void)client.Get("/");
    server.stop();
    listening.join();
}

}

int main(int argc, char** argv)
{
    // Some tests, and useHttpOnce(), run servers on their own threads. The default overloads miscount concurrent
    // allocations of two threads, or crash.
    MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads();
    prepareLibraries();
    useHttpOnce();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
