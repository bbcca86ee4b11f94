// Guards against wrong shares after the weights of a route change. A route had
// sent all requests to its larger target for 16 s. When it was split 3 to 1
// again, 85 of 100 requests went to the smaller target for seven seconds: each
// instance had kept its weighted round-robin state and continued to count what
// was sent, so it owed the smaller target six to ten requests.

#include "Node/ServiceTable.h"
#include "Routing/LoadAwarePolicy.h"

#include <memory>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

class PlainPolicies final : public PolicyFactory {
public:
    std::unique_ptr<RoutingPolicy> create() const override { return std::make_unique<LoadAwarePolicy>(); }
};

using Targets = std::vector<WeightedService>;

const Targets MostlyLarge{ { .service = "small", .weight = 25 }, { .service = "large", .weight = 75 } };
const Targets MostlySmall{ { .service = "small", .weight = 75 }, { .service = "large", .weight = 25 } };
const Targets OnlyLarge{ { .service = "large", .weight = 1 } };

/** The service tables of a fleet whose instances receive the requests of one route at random. */
class Fleet {
public:
    explicit Fleet(std::size_t instances)
    {
        for (std::size_t index = 0; index < instances; ++index) {
            this->randoms.push_back(std::make_unique<Random>(index + 1));
            this->tables.push_back(std::make_unique<ServiceTable>(
                ServiceTable::Options{ .policies = std::make_shared<PlainPolicies>(), .retries = {} },
                *this->randoms.back()));
        }
    }

    void setTargets(const Targets& targets)
    {
        auto routing = std::make_shared<PreparedRouting>();
        routing->configuration.routes.push_back({ .name = "r", .host = "a", .pathPrefix = "/", .services = targets });
        routing->configuration.services = { { .name = "small" }, { .name = "large" } };
        routing->routes = RouteTable(routing->configuration);
        for (const auto& table : this->tables)
            table->setRouting(routing);
    }

    /** The larger target's share of what is sent; one in refusedOneIn of the smaller target's requests is refused. */
    double shareOfLarge(std::size_t requests, std::size_t refusedOneIn = 0)
    {
        std::size_t large = 0;
        std::size_t sent = 0;
        for (std::size_t count = 0; count < requests; ++count) {
            ServiceTable& table = *this->tables[this->random.below(this->tables.size())];
            const auto route = table.route("a", "GET", "/x");
            const std::string service = table.chooseService(*route)->description.name;
            if (service == "small" && refusedOneIn && this->random.below(refusedOneIn) == 0)
                continue;
            table.recordSent(*route, service);
            ++sent;
            large += service == "large" ? 1 : 0;
        }
        return static_cast<double>(large) / static_cast<double>(sent);
    }

private:
    std::vector<std::unique_ptr<Random>> randoms;
    std::vector<std::unique_ptr<ServiceTable>> tables;
    Random random{ 3 };
};

/** Accepted deviation of a target's share from its weight. */
constexpr double MaxDeviation = 0.05;

}

TEST_GROUP(SplitRoutes){};

TEST(SplitRoutes, WeightsHoldAgainAfterTheRouteLedToOnePartAlone)
{
    for (const std::size_t instances : { 3, 40, 984 }) {
        Fleet fleet(instances);
        fleet.setTargets(MostlyLarge);
        fleet.shareOfLarge(instances * 10);
        fleet.setTargets(OnlyLarge);
        DOUBLES_EQUAL(1, fleet.shareOfLarge(instances * 40), 0);
        fleet.setTargets(MostlyLarge);
        DOUBLES_EQUAL(0.75, fleet.shareOfLarge(850), MaxDeviation);
        fleet.setTargets(MostlySmall);
        DOUBLES_EQUAL(0.25, fleet.shareOfLarge(850), MaxDeviation);
    }
}

TEST(SplitRoutes, WeightsHoldForAFleetWhoseInstancesSeeHardlyARequestEach)
{
    for (const std::size_t instances : { 40, 984, 2000 }) {
        Fleet fleet(instances);
        for (const Targets& targets : { MostlyLarge, MostlySmall, MostlyLarge }) {
            fleet.setTargets(targets);
            DOUBLES_EQUAL(targets.back().weight / 100.0, fleet.shareOfLarge(850), MaxDeviation);
        }
    }
}

TEST(SplitRoutes, WeightsHoldForWhatIsSentWhileOnePartRefusesSome)
{
    for (const std::size_t instances : { 3, 40 }) {
        Fleet fleet(instances);
        fleet.setTargets(MostlyLarge);
        DOUBLES_EQUAL(0.75, fleet.shareOfLarge(instances * 100, 3), MaxDeviation);
    }
}
