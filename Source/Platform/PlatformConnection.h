#pragma once

#include "Base/Milliseconds.h"
#include "Exchange/StoreRequest.h"
#include "Membership/InstanceList.h"
#include "Platform/PlatformOptions.h"

#include <httplib.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace burlreach {

/** A document as the platform's service holds it. */
struct StoredDocument {
    std::uint64_t index = NoStoreIndex;
    std::string value;
};

/** A listed backend server that is leaving. */
struct ListedBackendServer {
    std::string name;
    bool leaving = false;
};

/**
 * Blocking calls to the platform's service: keys with compare-and-swap on
 * /v1/kv/, and lists of instances on /v1/health/service/. Both answer with an
 * index that grows with each change, and can wait for the next change.
 */
class PlatformConnection {
public:
    PlatformConnection(PlatformOptions options, Milliseconds timeout);

    StoreAnswer call(const StoreRequest& request);
    /** Waits for an index above the given one; nothing when there is no answer. */
    std::optional<StoredDocument> watch(StoreDocument document, std::uint64_t index, Milliseconds wait);
    std::optional<InstanceList> instances();
    std::optional<std::vector<ListedBackendServer>> backendServers(const std::string& service);
    void stop();

private:
    std::string pathOf(StoreDocument document) const;
    StoreAnswer read(const StoreRequest& request);
    StoreAnswer write(const StoreRequest& request);

    PlatformOptions options;
    httplib::Client client;
};

}
