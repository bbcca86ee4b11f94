#pragma once

#include "operators.pb.h"

#include <string>

namespace burlreach {

/** Gives operators read access to the state of this instance; safe to call from any thread. */
class InstanceReader {
public:
    virtual ~InstanceReader() = default;
    virtual v1::Configuration configurationInForce() const = 0;
    virtual v1::ShowLoadAnswer showLoad(const std::string& service) const = 0;
    virtual v1::ShowCountersAnswer showCounters() const = 0;
    virtual v1::ShowRolloutAnswer showRollout(const std::string& service) const = 0;
    virtual v1::ShowCustomerAnswer showCustomer(const std::string& customer) const = 0;
    virtual v1::ShowQuotasAnswer showQuotas() const = 0;
    virtual v1::ShowCrashingRequestsAnswer showCrashingRequests() const = 0;
    virtual bool isReady() const = 0;
    /** Returns counters and histograms in the Prometheus text exposition format. */
    virtual std::string metricsText() const = 0;
};

}
