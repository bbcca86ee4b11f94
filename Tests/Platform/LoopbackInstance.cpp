#include "Tests/Platform/LoopbackInstance.h"

#include "Base/ChronoDuration.h"
#include "KvItemTranslator.h"

#include <algorithm>
#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/none.hpp>
#include <string_view>

namespace burlreach {

namespace {

constexpr const char* Configuration = R"({"version":"00000001",
    "routes":{"r":{"host":"x.example","path_prefix":"/a/","type":"safe","timeout":"4000ms","target_latency":"1500ms",
        "priority":0,"service":"s","max_attempts":3},
        "u":{"host":"x.example","path_prefix":"/once/","type":"unsafe","timeout":"4000ms","target_latency":"1500ms",
        "priority":0,"service":"s","max_attempts":3}},
    "services":{"s":{"health_check_path":"/health","max_connections":100}}})";
constexpr Milliseconds Step{ 1 };
constexpr Milliseconds UsualPatience{ 2500 };

Node::Options nodeOptions()
{
    Node::Options options;
    options.name = "entry-1";
    options.dataCentre = "dc-1";
    options.incarnation = 1;
    options.seed = 1;
    options.peersAddress = { .host = "127.0.0.1", .port = 1 };
    options.retries = { .share = 0.2, .slack = 64, .window = { 10000 } };
    options.translator = std::make_shared<platform::KvItemTranslator>();
    return options;
}

std::uint16_t freePort(asio::io_context& context)
{
    const asio::ip::tcp::acceptor probe(context, { asio::ip::address_v4::loopback(), 0 });
    return probe.local_endpoint().port();
}

}

std::string CallerAnswer::field(std::string_view name) const
{
    const std::string start = "\r\n" + std::string(name) + ": ";
    const std::size_t at = this->text.find(start);
    if (at == std::string::npos)
        return {};
    const std::size_t value = at + start.size();
    return this->text.substr(value, this->text.find("\r\n", value) - value);
}

LoopbackInstance::LoopbackInstance(asio::io_context& givenContext)
    : context(&givenContext)
    , node(nodeOptions())
    , port(freePort(givenContext))
    , desk(givenContext, { .address = { .host = "127.0.0.1", .port = this->port } },
          { .dialect = &this->dialect, .clock = &this->clock, .sink = this, .metrics = &this->metrics })
{
    this->desk.start();
    this->putItem("op/config", Configuration, false);
}

void LoopbackInstance::post(const Event& event)
{
    Actions actions;
    this->node.handle(event, this->clock.now(), actions);
    for (const Action& action : actions)
        std::visit([this](const auto& item) { this->execute(item); }, action);
    this->requestTimer = this->node.nextRequestDue(this->clock.now());
}

void LoopbackInstance::putItem(const std::string& key, const std::string& value, bool isRemoved)
{
    peers::PeerMessage message;
    message.set_version(PeerProtocolVersion);
    peers::Push* push = message.mutable_push();
    push->set_base_revision(this->revision);
    push->set_store_revision(++this->revision);
    peers::Item* item = push->add_items();
    item->set_key(key);
    item->set_value(value);
    item->set_removed(isRemoved);
    item->set_revision(this->revision);
    this->post(PeerMessageArrived{ .message = message });
}

void LoopbackInstance::putServer(const std::string& id, const NetworkAddress& address, std::uint64_t born)
{
    std::string record = R"({"address":")" + address.text() + R"(",)";
    if (born)
        record += R"("born":)" + std::to_string(born) + ",";
    record += R"("info":{"service":"s","version":"v1","zone":"dc-1","slots":3},)";
    record += R"("status":{"state":"ready","sequence":1,"cold_remaining":"0ms"}})";
    this->putItem("servers/" + id, record, false);
}

void LoopbackInstance::removeServer(const std::string& id)
{
    this->putItem("servers/" + id, "", true);
}

void LoopbackInstance::runFor(Milliseconds duration)
{
    const Milliseconds end = this->clock.now() + duration;
    do {
        this->context->restart();
        this->context->run_for(toDuration(Step));
        if (this->requestTimer <= this->clock.now())
            this->post(RequestTimer{});
        if (this->node.nextControlDue() <= this->clock.now())
            this->post(ControlTimer{});
    } while (this->clock.now() < end);
}

CallerAnswer LoopbackInstance::call()
{
    return this->call(UsualPatience);
}

CallerAnswer LoopbackInstance::call(Milliseconds patience)
{
    return this->send("GET /a/b", patience);
}

CallerAnswer LoopbackInstance::callRunOnce()
{
    return this->send("POST /once/b", UsualPatience);
}

CallerAnswer LoopbackInstance::send(const std::string& firstLine, Milliseconds patience)
{
    return this->sendAll(firstLine, 1, patience, [] {}).front();
}

/** A connection to the instance on which one request was sent. */
struct LoopbackInstance::Caller {
    explicit Caller(asio::io_context& context)
        : socket(context)
    {
        this->parser.eager(true);
        this->parser.body_limit(boost::none);
    }

    /** Reads what has arrived of the answer, until it is whole or the connection has ended. */
    void read(Milliseconds now)
    {
        if (this->isDone)
            return;
        std::array<char, 65536> bytes{};
        asio::error_code error;
        const std::size_t size = this->socket.read_some(asio::buffer(bytes), error);
        this->answer.text.append(bytes.data(), size);
        this->answer.took = now - this->start;
        this->parse({ bytes.data(), size });
        this->answer.isWhole = this->parser.is_done();
        this->answer.hasEnded = error && error != asio::error::would_block;
        this->isDone = this->answer.isWhole || this->answer.hasEnded;
    }

    asio::ip::tcp::socket socket;
    Milliseconds start;
    CallerAnswer answer;
    bool isDone = false;

private:
    void parse(std::string_view bytes)
    {
        this->unparsed.append(bytes);
        boost::beast::error_code error;
        while (!this->unparsed.empty() && !error && !this->parser.is_done())
            this->unparsed.erase(0, this->parser.put(boost::asio::buffer(this->unparsed), error));
    }

    boost::beast::http::response_parser<boost::beast::http::string_body> parser;
    std::string unparsed;
};

std::unique_ptr<LoopbackInstance::Caller> LoopbackInstance::startCaller(const std::string& firstLine)
{
    auto caller = std::make_unique<Caller>(*this->context);
    caller->socket.connect({ asio::ip::address_v4::loopback(), this->port });
    asio::write(caller->socket,
        asio::buffer(firstLine
            + " HTTP/1.1\r\nHost: x.example\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\nRequest-Id: r"
            + std::to_string(++this->calls) + "\r\n\r\n"));
    caller->socket.non_blocking(true);
    caller->start = this->clock.now();
    return caller;
}

std::vector<CallerAnswer> LoopbackInstance::sendAll(
    const std::string& firstLine, std::size_t count, Milliseconds patience, const std::function<void()>& whileWaiting)
{
    constexpr std::size_t statusAt = 9; // position after "HTTP/1.1 "
    std::vector<std::unique_ptr<Caller>> callers;
    for (std::size_t caller = 0; caller < count; ++caller)
        callers.push_back(this->startCaller(firstLine));
    const Milliseconds start = this->clock.now();
    const auto isDone = [](const std::unique_ptr<Caller>& caller) { return caller->isDone; };
    while (!std::all_of(callers.begin(), callers.end(), isDone) && this->clock.now() - start < patience) {
        this->runFor(Step);
        whileWaiting();
        for (const auto& caller : callers)
            caller->read(this->clock.now());
    }
    std::vector<CallerAnswer> answers;
    for (const auto& caller : callers) {
        if (caller->answer.text.size() > statusAt)
            caller->answer.status = static_cast<unsigned>(std::stoul(caller->answer.text.substr(statusAt)));
        answers.push_back(std::move(caller->answer));
    }
    return answers;
}

std::string LoopbackInstance::stateOf(const std::string& id) const
{
    const v1::ShowLoadAnswer load = this->node.showLoad("s", this->clock.now());
    for (const v1::BackendServerLoad& server : load.backend_servers()) {
        if (server.backend_server() == id)
            return server.state();
    }
    return {};
}

}
