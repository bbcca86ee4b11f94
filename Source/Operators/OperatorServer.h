#pragma once

#include "Base/NetworkAddress.h"
#include "Logging/Logger.h"
#include "Node/Actions.h"
#include "Node/EventSink.h"
#include "Operators/InstanceReader.h"
#include "Operators/PendingCalls.h"

#include <httplib.h>
#include <string>
#include <string_view>
#include <system_error>
#include <thread>

namespace burlreach {

/** Serves the operators' calls of operators.proto and the pages /live, /ready and /metrics over HTTP. */
class OperatorServer {
public:
    OperatorServer(NetworkAddress address, const InstanceReader& reader, EventSink& sink);
    ~OperatorServer();
    OperatorServer(const OperatorServer&) = delete;
    OperatorServer& operator=(const OperatorServer&) = delete;

    std::error_code start();
    /** Waits for all connections: for up to 5 s of silence on each, longer if bytes arrive slowly. */
    void stop();

    void execute(const AnswerChange& action) { this->changes.answer(action.call, action.answer); }
    void execute(const AnswerInForce& action) { this->inquiries.answer(action.call, action.answer); }

private:
    void addPages();
    void addCalls();
    template <typename Request, typename Answer>
    void addCall(std::string_view method, Answer (OperatorServer::*handler)(const Request&));

    v1::ChangeAnswer change(const v1::ChangeRequest& request);
    v1::ListServicesAnswer listServices(const v1::ListServicesRequest& request);
    v1::ShowServiceAnswer showService(const v1::ShowServiceRequest& request);
    v1::ShowInForceAnswer showInForce(const v1::ShowInForceRequest& request);
    v1::ShowLoadAnswer showLoad(const v1::ShowLoadRequest& request);
    v1::ShowCountersAnswer showCounters(const v1::ShowCountersRequest& request);
    v1::ShowRolloutAnswer showRollout(const v1::ShowRolloutRequest& request);
    v1::ShowCustomerAnswer showCustomer(const v1::ShowCustomerRequest& request);
    v1::ShowQuotasAnswer showQuotas(const v1::ShowQuotasRequest& request);
    v1::ShowCrashingRequestsAnswer showCrashingRequests(const v1::ShowCrashingRequestsRequest& request);

    NetworkAddress address;
    const InstanceReader* reader;
    EventSink* sink;
    Logger log;
    httplib::Server server;
    std::thread thread;
    PendingCalls<v1::ChangeAnswer> changes;
    PendingCalls<v1::ShowInForceAnswer> inquiries;
};

}
