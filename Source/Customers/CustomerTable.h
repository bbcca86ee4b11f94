#pragma once

#include "Base/Findings.h"
#include "Customers/Customer.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace burlreach {

/** Finds the customer to whom a key belongs. Never changed after it is made. */
class CustomerTable {
public:
    CustomerTable() = default;
    explicit CustomerTable(std::span<const Customer> customers);

    /** True where requests need a key. */
    bool hasCustomers() const { return !this->list.empty(); }
    /** Null for a key that nobody holds. */
    const Customer* holderOf(const KeyDigest& key) const;
    /** Null for a name that nobody has. */
    const Customer* byName(std::string_view name) const;
    std::span<const Customer> all() const { return this->list; }
    std::size_t keys() const { return this->byKey.size(); }

private:
    std::vector<Customer> list; // by name
    std::vector<std::pair<KeyDigest, std::size_t>> byKey; // the place in the list, by key
};

/** Adds a finding for each key that two customers hold, and for each name that is there twice. */
void checkCustomers(std::span<const Customer> customers, const std::string& place, Findings& findings);

}
