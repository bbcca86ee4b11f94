#pragma once

#include "Admission/WaitingQueue.h"
#include "Base/LocalBudgetShare.h"
#include "Base/Milliseconds.h"
#include "Base/Random.h"
#include "Customers/Customer.h"
#include "Quotas/CreditIssuer.h"
#include "Quotas/QuotaPlan.h"

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace burlreach {

/** Whether a request gets credit. */
struct CreditDecision {
    enum class Outcome {
        Granted,
        Awaited, // waits for an answer of the holder of a credit share
        Exhausted, // refused: the customer has used up its limit
        Unconfirmed // refused: no instance grants credit, or those that do not answer
    };

    Outcome outcome = Outcome::Unconfirmed;
    Milliseconds grantedAt; // if Granted; the request must reach a backend server within CreditLife of this time
    Milliseconds retryAfter; // if refused: when the caller may retry, with jitter
};

/**
 * Obtains credit for the requests that this instance receives from customers with a limit.
 *
 * A request first uses credit that is available here: unused credit of earlier requests that has not expired, then
 * this instance's random share of the budget that needs no grant. Otherwise it waits for credit from the holders of the
 * credit shares. At most one query per customer is under way; it covers all requests of the customer that wait when it
 * is sent. It goes to this instance's own share first, otherwise to a share chosen at random, so that a customer with
 * few requests reaches all shares. When a share has too little credit, or its holder does not answer, up to two other
 * shares are asked for the rest; then all requests that still wait are refused.
 *
 * A share that had too little credit is not asked for this customer until it has credit again. A holder that did not
 * answer is not asked during a pause. When all shares have too little credit, or all holders
 * are in a pause, new requests are refused at once.
 */
class CreditManager {
public:
    struct Options {
        QuotaBound bound;
        Milliseconds answerTimeout{ 100 }; // per query: 40 ms round trip to another region, plus slow processors
        unsigned maximumQueries = 3; // to different shares, before the requests that still wait are refused
        Milliseconds firstPause{ 300 }; // of a holder that did not answer; doubled each time
        Milliseconds longestPause{ 2000 };
    };

    /** The instance that grants credit from a share, as known here. */
    struct Holder {
        std::string instance; // empty: none
        bool isHere = false; // this instance
    };
    using Holders = std::array<Holder, CreditShareCount>;

    /** A query to the holder of a share. */
    struct Query {
        std::uint64_t number = 0;
        std::string customer;
        unsigned requests = 0;
        std::size_t share = 0;
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

    /** Requests of a customer that were refused for want of credit. */
    struct RefusalCounts {
        std::uint64_t exceeded = 0; // the limit was used up
        std::uint64_t unconfirmed = 0; // no instance that grants credit could be reached
    };

    CreditManager(const Options& options, Random& random);

    /** Sets the least number of instances in the fleet; nullopt: unknown, no credit is used without a grant. */
    void setInstances(std::optional<std::size_t> count) { this->instances = count; }
    /**
     * Decides on a new request. If it is Awaited, the decision follows from answered() or tick().
     */
    CreditDecision request(RequestNumber request, const Customer& customer, Milliseconds now);
    /** Takes credit that is available here and returns when it was granted; nullopt if there is none. */
    std::optional<Milliseconds> takeLocal(const Customer& customer, Milliseconds now);
    /** Returns the credit of a request that did not reach a backend server. */
    void giveBack(const std::string& customer, Milliseconds grantedAt, Milliseconds now);
    /** Removes a waiting request that has ended. */
    void forget(RequestNumber request, const std::string& customer);

    /** Sets the instances that grant credit from the shares. */
    void setHolders(Holders next) { this->holders = std::move(next); }
    /** The queries to send now. */
    std::vector<Query> takeQueries(Milliseconds now);
    /** Handles an answer; returns the requests that it decides. Answers to other queries than the last are ignored. */
    std::vector<DecidedRequest> answered(const Answer& answer, Milliseconds now);
    /** The customer's requests refused at this instance since its start. */
    RefusalCounts refusals(const std::string& customer) const;
    /** Handles queries that have timed out; returns the requests that are refused for that. */
    std::vector<DecidedRequest> tick(Milliseconds now);
    Milliseconds nextDue() const;

private:
    using ShareSet = std::bitset<CreditShareCount>;

    /** The credit state of one customer at this instance. */
    struct Account {
        std::deque<RequestNumber> waiting;
        RefusalCounts refused;
        std::uint64_t pendingQuery = 0; // the number of the query under way; 0: none
        std::size_t queriedShare = 0;
        std::string queriedHolder; // the instance that the query was sent to; the share may change hands meanwhile
        std::size_t queriedRequests = 0; // how many requests that query asks credit for
        Milliseconds answerDeadline = Never;
        ShareSet asked; // shares asked for the requests that wait, since one was answered in full
        std::array<Milliseconds, CreditShareCount> exhaustedUntil{}; // too little credit in the share until then
        std::deque<Milliseconds> unusedCredits; // when each unused credit was granted, oldest first
    };

    /** A holder that did not answer. */
    struct Pause {
        Milliseconds until = LongAgo;
        Milliseconds next; // length of the next pause
    };

    CreditDecision refusal(CreditDecision::Outcome outcome, Milliseconds wait);
    bool isPaused(std::size_t share, Milliseconds now) const;
    /** Pauses a holder that did not answer, or that does not grant. */
    void pause(const std::string& holder, Milliseconds now);
    /** The decision on requests that no share can be asked for. */
    CreditDecision refuse(Account& account, Milliseconds now);
    /** The share to ask next; nullopt if none is left. */
    std::optional<std::size_t> chooseShare(const Account& account, Milliseconds now);
    /** Refuses all that wait, if no share is left to ask. */
    void refuseIfDone(Account& account, Milliseconds now, std::vector<DecidedRequest>& settled);

    Options options;
    Random* random;
    std::optional<std::size_t> instances;
    LocalBudgetShare localBudget;
    Holders holders;
    std::map<std::string, Pause> pauses; // by holder
    std::map<std::string, Account> accounts; // by customer
    std::set<std::string> activeCustomers; // customers with waiting requests or a query under way
    std::uint64_t lastQuery = 0;
};

}
