#pragma once

#include "Admission/WaitingQueue.h"
#include "Base/LocalBudgetShare.h"
#include "Base/Milliseconds.h"
#include "Base/Random.h"
#include "Customers/Customer.h"
#include "Quotas/CreditIssuer.h"
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

/** Whether a request gets credit. */
struct CreditDecision {
    enum class Outcome {
        Granted,
        Awaited, // waits for an answer of the granting instance
        Exhausted, // refused: the customer has used up its limit
        Unconfirmed // refused: no instance grants credit, or the granting instance does not answer
    };

    Outcome outcome = Outcome::Unconfirmed;
    Milliseconds grantedAt; // if Granted; the request must reach a backend server within CreditLife of this time
    Milliseconds retryAfter; // if refused: when the caller may retry, with jitter
};

/**
 * Obtains credit for the requests that this instance receives from customers with a limit.
 *
 * A request first uses credit that is available here: unused credit of earlier requests that has not expired, then
 * this instance's random share of the budget that needs no grant. Otherwise it waits for credit from the granting
 * instance. At most one query per customer is under way; it covers all requests of the customer that wait when it is
 * sent. An answer with less credit than requested refuses all that still wait, and further requests of the customer
 * until credit is expected again. After several queries in a row without an answer, all waiting requests are refused,
 * and new ones are refused at once for a short time.
 */
class CreditManager {
public:
    struct Options {
        QuotaBound bound;
        Milliseconds answerTimeout{ 100 }; // per query: 40 ms round trip to another region, plus slow processors
        unsigned maximumQueries = 2; // queries in a row without an answer before the waiting requests are refused
        Milliseconds unresponsivePause{ 300 }; // no query is sent for this long after that
    };

    /** A query to the granting instance. */
    struct Query {
        std::uint64_t number = 0;
        std::string customer;
        unsigned requests = 0;
    };

    /** The answer to a query. */
    struct Answer {
        std::uint64_t number = 0;
        std::string customer;
        CreditGrant grant;
        bool isGranting = true; // false: the queried instance may not grant
    };

    /** A waiting request with its decision, which is never Awaited. */
    struct DecidedRequest {
        RequestNumber request = 0;
        CreditDecision decision;
    };

    CreditManager(const Options& options, Random& random);

    /** Sets the least number of instances in the fleet; nullopt: unknown, no credit is used without a grant. */
    void setInstances(std::optional<std::size_t> count) { this->instances = count; }
    /**
     * Decides on a new request. If it is Awaited, the decision follows from answered(), tick() or refuseAllWaiting().
     */
    CreditDecision request(RequestNumber request, const Customer& customer, Milliseconds now);
    /** Takes credit that is available here and returns when it was granted; nullopt if there is none. */
    std::optional<Milliseconds> takeLocal(const Customer& customer, Milliseconds now);
    /** Returns the credit of a request that did not reach a backend server. */
    void giveBack(const std::string& customer, Milliseconds grantedAt, Milliseconds now);
    /** Removes a waiting request that has ended. */
    void forget(RequestNumber request, const std::string& customer);

    /** The queries to send now. */
    std::vector<Query> takeQueries(Milliseconds now);
    /** Refuses all waiting requests, because no instance grants credit or the granting instance does not answer. */
    std::vector<DecidedRequest> refuseAllWaiting(Milliseconds now);
    /** Handles an answer; returns the requests that it decides. Answers to other queries than the last are ignored. */
    std::vector<DecidedRequest> answered(const Answer& answer, Milliseconds now);
    /** Handles queries that have timed out; returns the requests that are refused for that. */
    std::vector<DecidedRequest> tick(Milliseconds now);
    Milliseconds nextDue() const;
    /** True for a short time after the granting instance failed to answer, or there was none. */
    bool isGrantorUnresponsive(Milliseconds now) const { return now < this->unresponsiveUntil; }

private:
    /** The credit state of one customer at this instance. */
    struct Account {
        std::deque<RequestNumber> waiting;
        std::uint64_t pendingQuery = 0; // the number of the query under way; 0: none
        std::size_t queriedRequests = 0; // how many requests that query asks credit for
        unsigned unansweredQueries = 0; // queries in a row without an answer
        Milliseconds answerDeadline = Never;
        Milliseconds exhaustedUntil = LongAgo; // requests that need a grant are refused until then
        std::deque<Milliseconds> unusedCredits; // when each unused credit was granted, oldest first
    };

    CreditDecision refusal(CreditDecision::Outcome outcome, Milliseconds wait);
    void refuseFront(
        Account& account, std::size_t count, const CreditDecision& decision, std::vector<DecidedRequest>& settled);

    Options options;
    Random* random;
    std::optional<std::size_t> instances;
    LocalBudgetShare localBudget;
    std::map<std::string, Account> accounts; // by customer
    std::set<std::string> activeCustomers; // customers with waiting requests or a query under way
    std::uint64_t lastQuery = 0;
    Milliseconds unresponsiveUntil = LongAgo; // end of the pause after the granting instance did not answer
};

}
