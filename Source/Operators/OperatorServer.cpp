#include "Operators/OperatorServer.h"

#include "Operators/MessageCodec.h"

namespace burlreach {

namespace {

constexpr int StatusBadRequest = 400;
constexpr int StatusUnsupportedType = 415;
constexpr int StatusUnavailable = 503;
constexpr std::size_t MaximumCallBytes = 1048576;
constexpr const char* TextType = "text/plain; charset=utf-8";
/** Timeouts for the control thread's answer; it is expected to answer much earlier. */
constexpr Milliseconds ChangeTimeout{ 20000 };
constexpr Milliseconds InquiryTimeout{ 5000 };

/** Answers with a ChangeAnswer of one finding; in JSON, all answers that have findings list them as "findings". */
void answerWithFinding(httplib::Response& response, int status, std::string_view place, std::string_view message)
{
    v1::ChangeAnswer answer;
    answer.set_result(v1::CHANGE_REFUSED);
    v1::Finding* finding = answer.add_findings();
    finding->set_place(std::string(place));
    finding->set_message(std::string(message));
    response.status = status;
    response.set_content(encodeMessage(answer, false), JsonType);
}

}

OperatorServer::OperatorServer(NetworkAddress givenAddress, const InstanceReader& givenReader, EventSink& givenSink)
    : address(std::move(givenAddress))
    , reader(&givenReader)
    , sink(&givenSink)
    , log("operators")
{
    this->server.set_payload_max_length(MaximumCallBytes);
    this->server.set_tcp_nodelay(true);
    this->addPages();
    this->addCalls();
}

OperatorServer::~OperatorServer()
{
    this->stop();
}

std::error_code OperatorServer::start()
{
    if (!this->server.bind_to_port(this->address.host, this->address.port))
        return std::make_error_code(std::errc::address_in_use);
    this->thread = std::thread([this] { this->server.listen_after_bind(); });
    return {};
}

void OperatorServer::stop()
{
    if (!this->thread.joinable())
        return;
    this->changes.close();
    this->inquiries.close();
    this->server.stop();
    this->thread.join();
}

void OperatorServer::addPages()
{
    this->server.Get("/live",
        [](const httplib::Request&, httplib::Response& response) { response.set_content("live\n", TextType); });
    this->server.Get("/ready", [this](const httplib::Request&, httplib::Response& response) {
        const bool isReady = this->reader->isReady();
        response.status = isReady ? 200 : StatusUnavailable;
        response.set_content(isReady ? "ready\n" : "not ready\n", TextType);
    });
    this->server.Get("/metrics", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(this->reader->metricsText(), "text/plain; version=0.0.4");
    });
}

template <typename Request, typename Answer>
void OperatorServer::addCall(std::string_view method, Answer (OperatorServer::*handler)(const Request&))
{
    const std::string path = "/burlreach.v1.Operators/" + std::string(method);
    this->server.Post(path, [this, handler](const httplib::Request& request, httplib::Response& response) {
        const std::string type = request.get_header_value("Content-Type");
        if (!isKnownType(type))
            return answerWithFinding(response, StatusUnsupportedType, "Content-Type",
                "is not supported; send application/json or application/x-protobuf");
        const bool asProtobuf = isProtobufType(type);
        Request message;
        if (const auto problem = decodeMessage(request.body, asProtobuf, message))
            return answerWithFinding(response, StatusBadRequest, "/", *problem);
        const Answer answer = (this->*handler)(message);
        response.set_content(encodeMessage(answer, asProtobuf), asProtobuf ? ProtobufType : JsonType);
    });
}

void OperatorServer::addCalls()
{
    this->addCall("Change", &OperatorServer::change);
    this->addCall("ListServices", &OperatorServer::listServices);
    this->addCall("ShowService", &OperatorServer::showService);
    this->addCall("ShowInForce", &OperatorServer::showInForce);
    this->addCall("ShowLoad", &OperatorServer::showLoad);
    this->addCall("ShowCounters", &OperatorServer::showCounters);
    this->addCall("ShowRollout", &OperatorServer::showRollout);
    this->addCall("ShowCustomer", &OperatorServer::showCustomer);
    this->addCall("ShowQuotas", &OperatorServer::showQuotas);
    this->addCall("ShowCrashingRequests", &OperatorServer::showCrashingRequests);
}

v1::ChangeAnswer OperatorServer::change(const v1::ChangeRequest& request)
{
    const OperatorCallNumber call = this->changes.begin();
    this->sink->post(ChangeAsked{ .call = call, .request = request });
    const auto answer = this->changes.wait(call, ChangeTimeout);
    v1::ChangeAnswer unknown;
    unknown.set_result(v1::CHANGE_UNKNOWN);
    const v1::ChangeAnswer& given = answer ? *answer : unknown;
    this->log.info("Change " + request.change_id() + " ended as " + v1::ChangeResult_Name(given.result())
        + " at revision " + std::to_string(given.revision()) + ".");
    return given;
}

v1::ListServicesAnswer OperatorServer::listServices(const v1::ListServicesRequest&)
{
    const v1::Configuration configuration = this->reader->configurationInForce();
    v1::ListServicesAnswer answer;
    answer.set_revision(configuration.revision());
    for (const v1::Service& service : configuration.services())
        answer.add_services(service.name());
    *answer.mutable_emptied_data_centres() = configuration.emptied_data_centres();
    return answer;
}

v1::ShowServiceAnswer OperatorServer::showService(const v1::ShowServiceRequest& request)
{
    const v1::Configuration configuration = this->reader->configurationInForce();
    v1::ShowServiceAnswer answer;
    answer.set_revision(configuration.revision());
    for (const v1::Service& service : configuration.services()) {
        if (service.name() == request.service())
            *answer.mutable_service() = service;
    }
    if (answer.has_service())
        return answer;
    v1::Finding* finding = answer.add_findings();
    finding->set_place("/service");
    finding->set_message("there is no service \"" + request.service() + "\"; see the list of services");
    return answer;
}

v1::ShowInForceAnswer OperatorServer::showInForce(const v1::ShowInForceRequest&)
{
    const OperatorCallNumber call = this->inquiries.begin();
    this->sink->post(InForceAsked{ .call = call });
    return this->inquiries.wait(call, InquiryTimeout).value_or(v1::ShowInForceAnswer());
}

v1::ShowLoadAnswer OperatorServer::showLoad(const v1::ShowLoadRequest& request)
{
    return this->reader->showLoad(request.service());
}

v1::ShowRolloutAnswer OperatorServer::showRollout(const v1::ShowRolloutRequest& request)
{
    return this->reader->showRollout(request.service());
}

v1::ShowCustomerAnswer OperatorServer::showCustomer(const v1::ShowCustomerRequest& request)
{
    return this->reader->showCustomer(request.customer());
}

v1::ShowQuotasAnswer OperatorServer::showQuotas(const v1::ShowQuotasRequest&)
{
    return this->reader->showQuotas();
}

v1::ShowCrashingRequestsAnswer OperatorServer::showCrashingRequests(const v1::ShowCrashingRequestsRequest&)
{
    return this->reader->showCrashingRequests();
}

v1::ShowCountersAnswer OperatorServer::showCounters(const v1::ShowCountersRequest&)
{
    return this->reader->showCounters();
}

}
