// Guards the limit of a customer, which holds for the whole fleet. Fleets of 3 to 984 instances let requests through
// with credit from the granting instance and with their random shares of the budget that needs no grant. The customer
// sends to all instances, to one, or to one after the other. The tests count the requests that reach backend servers in
// every sliding window, with each credit used as late as allowed, or at once.

#include "Quotas/CreditIssuer.h"
#include "Quotas/CreditManager.h"

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

constexpr QuotaBound Bound{ .window = { 5000 }, .overage = 0.1, .slack = 20 };
constexpr Milliseconds Step{ 5 };
constexpr Milliseconds PeerDelay{ 2 };

double boundOf(const CustomerLimit& limit)
{
    return (limit.requestsPerSecond * (Bound.window / Second) + limit.burst) * (1 + Bound.overage) + Bound.slack;
}

enum class Spread {
    Everywhere,
    OneInstance,
    OneAfterTheOther
};

struct Case {
    const char* name;
    std::size_t instances;
    CustomerLimit limit;
    double sentPerSecond;
    Spread spread;
};

/** Sends one customer's requests through a fleet whose granting instance may change. */
class CustomerSimulation {
public:
    explicit CustomerSimulation(const Case& given)
        : item(given)
        , grantors(2, CreditIssuer(Bound))
    {
        for (std::size_t index = 0; index < item.instances; ++index) {
            this->randoms.push_back(std::make_unique<Random>(index + 1));
            this->desks.push_back(
                std::make_unique<CreditManager>(CreditManager::Options{ .bound = Bound }, *this->randoms.back()));
            this->desks.back()->setInstances(item.instances);
        }
        this->customer.name = "acme";
        this->customer.limit = item.limit;
        this->grantors[0].begin(true, this->now);
    }

    void run(Milliseconds span)
    {
        const Milliseconds end = this->now + span;
        for (; this->now < end; this->now = this->now + Step) {
            this->unsent += this->item.sentPerSecond * (Step / Second);
            for (; this->unsent >= 1; this->unsent -= 1)
                this->send();
            for (std::size_t index = 0; index < this->desks.size(); ++index)
                this->ask(index);
        }
    }

    /** Sets the modes of the two granting instances; the second one starts to grant if its mode was None. */
    void setModes(GrantMode first, GrantMode second)
    {
        if (this->modes[1] == GrantMode::None && second != GrantMode::None)
            this->grantors[1].begin(false, this->now);
        this->modes = { first, second };
    }

    /** The most requests in a window, if each reaches its server at once or as late as its credit allows. */
    double mostInWindow() const
    {
        double most = 0;
        for (const bool late : { false, true }) {
            std::deque<double> window;
            // The worst case: credit granted before the window is used as late as allowed, credit granted at its end
            // at once.
            for (const Milliseconds at : this->granted) {
                window.push_back(at.count);
                const double span = Bound.window.count + (late ? CreditLife.count : 0);
                while (window.front() <= at.count - span)
                    window.pop_front();
                most = std::max(most, static_cast<double>(window.size()));
            }
        }
        return most;
    }

    std::size_t sent = 0;
    std::vector<Milliseconds> granted;

private:
    std::size_t target()
    {
        switch (this->item.spread) {
        case Spread::Everywhere:
            return this->random.below(this->desks.size());
        case Spread::OneInstance:
            return 0;
        case Spread::OneAfterTheOther:
            break;
        }
        constexpr Milliseconds stay{ 700 };
        return static_cast<std::size_t>(this->now / stay) % this->desks.size();
    }

    void send()
    {
        ++this->sent;
        const CreditDecision decision = this->desks[this->target()]->request(++this->last, this->customer, this->now);
        if (decision.outcome == CreditDecision::Outcome::Granted)
            this->granted.push_back(this->now);
    }

    void ask(std::size_t index)
    {
        for (const CreditManager::Query& ask : this->desks[index]->takeQueries(this->now)) {
            // Half of the instances learn of the second granting instance earlier than the others.
            const std::size_t grantor = this->modes[1] != GrantMode::None && index % 2 ? 1 : 0;
            CreditManager::Answer answer{ .number = ask.number, .customer = ask.customer };
            answer.isGranting = this->modes[grantor] != GrantMode::None;
            if (answer.isGranting)
                answer.grant
                    = this->grantors[grantor].grant(this->customer, ask.requests, this->modes[grantor], this->now);
            for (const CreditManager::DecidedRequest& settled :
                this->desks[index]->answered(answer, this->now + PeerDelay)) {
                if (settled.decision.outcome == CreditDecision::Outcome::Granted)
                    this->granted.push_back(this->now);
            }
        }
    }

    Case item;
    Random random{ 11 };
    std::vector<std::unique_ptr<Random>> randoms;
    std::vector<std::unique_ptr<CreditManager>> desks;
    std::vector<CreditIssuer> grantors;
    std::array<GrantMode, 2> modes{ GrantMode::Full, GrantMode::None };
    Customer customer;
    Milliseconds now{ 1000 };
    double unsent = 0;
    RequestNumber last = 0;
};

constexpr CustomerLimit Large{ .requestsPerSecond = 327, .burst = 327 };
constexpr CustomerLimit Small{ .requestsPerSecond = 8, .burst = 8 };
constexpr CustomerLimit Tiny{ .requestsPerSecond = 1, .burst = 0 };

std::vector<Case> cases(double ofLimit)
{
    std::vector<Case> list;
    for (const std::size_t instances : { 3, 40, 107, 473, 984 }) {
        for (const CustomerLimit& limit : { Large, Small, Tiny }) {
            for (const Spread spread : { Spread::Everywhere, Spread::OneInstance, Spread::OneAfterTheOther })
                list.push_back({ .name = "",
                    .instances = instances,
                    .limit = limit,
                    .sentPerSecond = limit.requestsPerSecond * ofLimit,
                    .spread = spread });
        }
    }
    return list;
}

std::string textOf(const Case& item)
{
    return std::to_string(item.instances) + " instances, limit " + std::to_string(item.limit.requestsPerSecond)
        + ", spread " + std::to_string(static_cast<int>(item.spread));
}

}

TEST_GROUP(CustomerCredit){};

TEST(CustomerCredit, NoWindowExceedsTheBoundUnderOverload)
{
    for (const Case& item : cases(8)) {
        CustomerSimulation customers(item);
        customers.run({ 15000 });
        const std::string text = textOf(item) + ", window " + std::to_string(customers.mostInWindow());
        CHECK_TEXT(customers.mostInWindow() <= boundOf(item.limit), text.c_str());
        // An overloaded limit must still be used: at least 90 % of it is served.
        CHECK_TEXT(
            static_cast<double>(customers.granted.size()) >= item.limit.requestsPerSecond * 15 * 0.9, text.c_str());
    }
}

TEST(CustomerCredit, ACustomerBelowItsLimitIsNotRefused)
{
    for (const Case& item : cases(1 / 1.6)) {
        CustomerSimulation customers(item);
        customers.run({ 15000 });
        const double share = static_cast<double>(customers.granted.size()) / static_cast<double>(customers.sent);
        CHECK_TEXT(share >= 0.99, (textOf(item) + ", share " + std::to_string(share)).c_str());
    }
}

TEST(CustomerCredit, TheBoundHoldsDuringAChangeOfTheGrantingInstance)
{
    for (const Case& item : cases(8)) {
        CustomerSimulation customers(item);
        customers.run({ 6000 });
        customers.setModes(GrantMode::Half, GrantMode::Half);
        customers.run({ 4000 });
        customers.setModes(GrantMode::None, GrantMode::Full);
        customers.run({ 6000 });
        const std::string text = textOf(item) + ", window " + std::to_string(customers.mostInWindow());
        CHECK_TEXT(customers.mostInWindow() <= boundOf(item.limit), text.c_str());
    }
}

TEST(CustomerCredit, WithoutAGrantingInstanceRequestsUseLocalCreditOnly)
{
    const Case item{ .name = "", .instances = 40, .limit = Small, .sentPerSecond = 64, .spread = Spread::Everywhere };
    CustomerSimulation customers(item);
    customers.setModes(GrantMode::None, GrantMode::None);
    customers.run({ 15000 });
    CHECK(!customers.granted.empty());
    CHECK(customers.mostInWindow() <= boundOf(item.limit));
}

TEST(CustomerCredit, UnusedCreditServesTheNextRequestUntilItExpires)
{
    Random random(3);
    CreditManager desk({ .bound = Bound }, random);
    Customer customer;
    customer.name = "acme";
    customer.limit = Large;
    CHECK(desk.request(1, customer, { 100 }).outcome == CreditDecision::Outcome::Awaited);
    const auto asks = desk.takeQueries({ 100 });
    LONGS_EQUAL(1, asks.size());
    const auto settled = desk.answered(
        { .number = asks.front().number, .customer = "acme", .grant = { .amount = 1, .wait = {} } }, { 105 });
    LONGS_EQUAL(1, settled.size());
    desk.giveBack("acme", settled.front().decision.grantedAt, { 110 });
    CHECK(desk.request(2, customer, { 120 }).outcome == CreditDecision::Outcome::Granted);
    desk.giveBack("acme", settled.front().decision.grantedAt, { 130 });
    CHECK(desk.request(3, customer, Milliseconds{ 100 } + CreditLife).outcome == CreditDecision::Outcome::Awaited);
}

TEST(CustomerCredit, PausesAfterTwoQueriesWithoutAnAnswer)
{
    Random random(3);
    CreditManager desk({ .bound = Bound }, random);
    Customer customer;
    customer.name = "acme";
    customer.limit = Large;
    CHECK(desk.request(1, customer, { 0 }).outcome == CreditDecision::Outcome::Awaited);
    LONGS_EQUAL(1, desk.takeQueries({ 0 }).size());
    LONGS_EQUAL(0, desk.tick({ 100 }).size());
    LONGS_EQUAL(1, desk.takeQueries({ 100 }).size());
    const auto settled = desk.tick({ 200 });
    LONGS_EQUAL(1, settled.size());
    CHECK(settled.front().decision.outcome == CreditDecision::Outcome::Unconfirmed);
    CHECK(desk.request(2, customer, { 210 }).outcome == CreditDecision::Outcome::Unconfirmed);
    CHECK(desk.request(3, customer, { 600 }).outcome == CreditDecision::Outcome::Awaited);
}
