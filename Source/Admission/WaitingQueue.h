#pragma once

#include "Base/Milliseconds.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace burlreach {

using RequestNumber = std::uint64_t;

/**
 * Priority queue of requests that wait for a backend server with a free slot: lowest rank first. Every 20th request is
 * taken from the second lowest rank present, so that it does not starve.
 *
 * Within a rank the customers take turns (deficit round robin in which each request costs one quantum), and the
 * requests of one customer are first in, first out. With a single customer, or none, a rank is first in, first out.
 */
class WaitingQueue {
public:
    /** Callers without a customer count as one customer with an empty name. */
    void push(std::uint32_t rank, std::string_view customer, RequestNumber request);
    /** Returns a request that was taken out to the front of its rank; its customer has the next turn there. */
    void pushFront(std::uint32_t rank, std::string_view customer, RequestNumber request);
    std::optional<RequestNumber> pop();
    void remove(RequestNumber request);

    std::size_t size() const;
    /** How many requests have this rank or a lower one. */
    std::size_t countAhead(std::uint32_t rank) const;
    /**
     * How many of the waiting requests are taken before a new request of this rank and customer, apart from the turns
     * of the second lowest rank. A customer with few waiting requests has fewer ahead of it than others.
     */
    std::size_t countAhead(std::uint32_t rank, std::string_view customer) const;

private:
    struct CustomerQueue {
        std::string customer;
        std::deque<RequestNumber> requests; // never empty
    };

    /** The customers with waiting requests of one rank; the first one has the next turn. Never empty. */
    using Turns = std::list<CustomerQueue>;

    static Turns::iterator find(Turns& turns, std::string_view customer);

    std::map<std::uint32_t, Turns> ranks;
    unsigned lowestRankInARow = 0;
};

}
