#pragma once

#include "Admission/WaitingQueue.h"
#include "Base/DealtBudget.h"
#include "Base/Milliseconds.h"
#include "Base/Random.h"
#include "Customers/Customer.h"
#include "Quotas/CreditGrants.h"
#include "Quotas/QuotaPlan.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace burlreach {

/** What became of a request's wish for credit. */
struct CreditDecision {
    enum class Outcome {
        Granted,
        Awaited, // the granting instance is asked
        Exhausted, // the customer has used up its limit
        Unconfirmed // nobody could be asked
    };

    Outcome outcome = Outcome::Unconfirmed;
    Milliseconds grantedAt; // of a granted one: the request must reach a backend server within CreditLife
    Milliseconds comeBackAfter; // of a refused one
};

/**
 * Credit for requests of customers with a limit, at the instance that takes
 * the requests: what it was dealt is used first, then the granting instance is
 * asked, for all that wait with one message at a time for each customer.
 */
class CreditDesk {
public:
    struct Options {
        QuotaBound bound;
        Milliseconds answerPatience{ 100 }; // 40 ms to another region and back, and a slow processor at either end
        unsigned mostAsks = 2; // in a row for the same requests
        Milliseconds silentPause{ 300 }; // a granting instance that was silent is not asked for so long
    };

    /** A question for the granting instance. */
    struct Ask {
        std::uint64_t number = 0;
        std::string customer;
        unsigned requests = 0;
    };

    /** The answer to such a question. */
    struct Answer {
        std::uint64_t number = 0;
        std::string customer;
        CreditGrant grant;
        bool isGranting = true; // false: the asked instance may not grant
    };

    /** A request that waited. */
    struct Settled {
        RequestNumber request = 0;
        CreditDecision decision;
    };

    CreditDesk(const Options& options, Random& random);

    /** Of the whole fleet, as it is at least; nothing: not known, and nothing is dealt. */
    void setInstances(std::optional<std::size_t> count) { this->instances = count; }
    /** Credit for a request that comes now. An awaited one is settled later. */
    CreditDecision request(RequestNumber request, const Customer& customer, Milliseconds now);
    /** Credit that is here already. */
    std::optional<Milliseconds> takeLocal(const Customer& customer, Milliseconds now);
    /** A request did not use its credit. */
    void giveBack(const std::string& customer, Milliseconds grantedAt, Milliseconds now);
    /** A request that waits is over. */
    void forget(RequestNumber request, const std::string& customer);

    /** Questions that are due, to be sent at once. */
    std::vector<Ask> takeAsks(Milliseconds now);
    /** There is nobody to be asked: all that waits is settled. */
    std::vector<Settled> nobodyGrants(Milliseconds now);
    std::vector<Settled> answered(const Answer& answer, Milliseconds now);
    /** Gives up on answers that did not come. */
    std::vector<Settled> tick(Milliseconds now);
    Milliseconds nextDue() const;
    /** The granting instance has just not answered, or there was none. */
    bool isSilent(Milliseconds now) const { return now < this->silentUntil; }

private:
    /** All that is known here of one customer's credit. */
    struct Account {
        std::deque<RequestNumber> waiting;
        std::uint64_t asked = 0; // the number of the question under way; 0: none
        std::size_t askedFor = 0; // requests at the front of those that wait
        unsigned asks = 0; // in a row without an answer
        Milliseconds answerDue = Never;
        Milliseconds exhaustedUntil = LongAgo;
        std::deque<Milliseconds> unused; // when each was granted
    };

    CreditDecision refusal(CreditDecision::Outcome outcome, Milliseconds wait);
    void refuseFront(
        Account& account, std::size_t count, const CreditDecision& decision, std::vector<Settled>& settled);

    Options options;
    Random* random;
    std::optional<std::size_t> instances;
    DealtBudget dealt;
    std::map<std::string, Account> accounts; // by customer
    std::set<std::string> busy; // customers whose requests wait, or for whom a question is under way
    std::uint64_t lastAsk = 0;
    Milliseconds silentUntil = LongAgo; // of the granting instance
};

}
