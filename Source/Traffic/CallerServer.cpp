#include "Traffic/CallerServer.h"

#include "Traffic/ConnectionThreads.h"
#include "Traffic/Headers.h"

#include <linux/filter.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace burlreach {

namespace {

/** How often an idle connection looks whether the instance is stopping. */
constexpr Milliseconds IdleCheck{ 200 };
constexpr std::size_t HeadersPerRequest = 8;
constexpr int StatusTooLarge = 413;

/** What httplib would act on itself, put aside so that the body stays as sent. */
struct SetAside {
    socket_t socket = -1;
    bool refuses = false;
    httplib::Headers headers;
};

/** Of the connection that this thread serves. */
thread_local SetAside setAside;

void moveAside(httplib::Request& request, const char* name)
{
    const auto range = request.headers.equal_range(name);
    setAside.headers.insert(range.first, range.second);
    request.headers.erase(range.first, range.second);
}

/** httplib notes the addresses of a connection among the request's headers. */
bool isAddedByLibrary(std::string_view name)
{
    return name == "REMOTE_ADDR" || name == "REMOTE_PORT" || name == "LOCAL_ADDR" || name == "LOCAL_PORT";
}

void fill(httplib::Response& response, CallerAnswer answer, bool keepsLength = false)
{
    response.status = answer.status;
    for (const HeaderLine& header : answer.headers) {
        const bool isLength = !strcasecmp(header.name.c_str(), "Content-Length");
        if ((!isLength || keepsLength) && !isHopByHop(header.name))
            response.headers.emplace(header.name, header.value);
    }
    if (answer.body.empty()) {
        if (!response.has_header("Content-Length"))
            response.headers.emplace("Content-Length", "0");
        return;
    }
    // A provider keeps httplib from compressing the body.
    const std::string type = response.get_header_value("Content-Type");
    response.headers.erase("Content-Type");
    const std::size_t size = answer.body.size();
    response.set_content_provider(size, type.empty() ? "application/octet-stream" : type,
        [body = std::move(answer.body)](std::size_t offset, std::size_t length, httplib::DataSink& sink) {
            return sink.write(body.data() + offset, length);
        });
}

}

CallerServer::CallerServer(Options givenOptions, CallerHandler& givenHandler, TrafficMetrics& givenMetrics)
    : options(std::move(givenOptions))
    , handler(&givenHandler)
    , metrics(&givenMetrics)
{
    const auto answer
        = [this](const httplib::Request& request, httplib::Response& response) { this->handle(request, response); };
    this->Get("/", answer);
    this->Post("/", answer);
    this->Put("/", answer);
    this->Patch("/", answer);
    this->Delete("/", answer);
    this->httplib::Server::Options("/", answer);
    this->set_tcp_nodelay(true);
    this->set_payload_max_length(this->options.maximumBodyBytes);
    const Handler refuse = [this](const httplib::Request& request, httplib::Response& response) {
        if (response.status == StatusTooLarge)
            fill(response, this->handler->refuseBody(request.has_header(RequestIdHeader)));
    };
    this->set_error_handler(refuse);
    this->new_task_queue = [] { return new ConnectionThreads; };
}

CallerServer::~CallerServer()
{
    this->finish();
}

std::error_code CallerServer::start()
{
    if (!this->bind_to_port(this->options.address.host, this->options.address.port))
        return std::make_error_code(std::errc::address_in_use);
    this->acceptor = std::thread([this] { this->listen_after_bind(); });
    return {};
}

void CallerServer::closeIdle()
{
    this->closesAfterAnswers = true;
    if (!this->closesIdle.exchange(true))
        this->refuseNewConnections();
}

void CallerServer::refuseNewConnections()
{
    // The kernel drops what would begin a connection. Those that have begun are
    // still accepted, so that closing the socket later resets none of them.
    sock_filter dropAll{ .code = BPF_RET | BPF_K, .jt = 0, .jf = 0, .k = 0 };
    const sock_fprog program{ .len = 1, .filter = &dropAll };
    setsockopt(this->svr_sock_, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

void CallerServer::finish()
{
    if (!this->acceptor.joinable())
        return;
    this->closeIdle();
    // The library's own stop would cut answers that are being written.
    ::shutdown(this->svr_sock_, SHUT_RD);
    this->acceptor.join();
}

bool CallerServer::process_and_close_socket(socket_t socket)
{
    const bool refuses = this->metrics->openSessions++ >= this->options.maximumSessions;
    if (refuses)
        ++this->metrics->sessionsRefused;
    this->serve(socket, refuses);
    --this->metrics->openSessions;
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return true;
}

void CallerServer::serve(socket_t socket, bool refuses)
{
    setAside = { .socket = socket, .refuses = refuses, .headers = {} };
    const std::size_t mostBytes = this->options.maximumHeaderBytes * HeadersPerRequest + this->options.maximumBodyBytes;
    CallerStream stream(socket, { .mostRequestBytes = mostBytes });
    Milliseconds idle;
    while (idle < this->options.idleSession) {
        if (!stream.waitForRequest(IdleCheck)) {
            if (this->closesIdle || isClosedByPeer(socket))
                return;
            idle = idle + IdleCheck;
            continue;
        }
        idle = {};
        stream.beginRequest();
        setAside.headers.clear();
        bool isClosed = false;
        const bool closesAfter = this->closesAfterAnswers || refuses;
        const bool isServed = this->process_request(
            stream, closesAfter, isClosed, [this](httplib::Request& request) { this->prepare(request); });
        if (!isServed || isClosed || closesAfter)
            return;
    }
}

void CallerServer::prepare(httplib::Request& request)
{
    // One short path for the routing by regular expression; the real one stays
    // in the target.
    request.path.assign(1, '/');
    request.ranges.clear();
    moveAside(request, "Content-Type");
    moveAside(request, "Content-Encoding");
}

void CallerServer::handle(const httplib::Request& request, httplib::Response& response)
{
    if (setAside.refuses)
        return fill(response, this->handler->refuseSession(request.has_header(RequestIdHeader)));
    CallerRequest whole;
    whole.socket = setAside.socket;
    whole.method = request.method;
    whole.target = request.target;
    whole.host = request.get_header_value("Host");
    whole.body = request.body;
    for (const httplib::Headers* headers :
        { &request.headers, &static_cast<const httplib::Headers&>(setAside.headers) }) {
        for (const auto& [name, value] : *headers) {
            if (!isHopByHop(name) && !isAddedByLibrary(name))
                whole.headers.push_back({ .name = name, .value = value });
        }
    }
    fill(response, this->handler->answer(std::move(whole)), request.method == "HEAD");
}

}
