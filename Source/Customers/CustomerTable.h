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

/** Finds customers by key or name. Immutable. */
class CustomerTable {
public:
    CustomerTable() = default;
    explicit CustomerTable(std::span<const Customer> customers);

    /** Requests need a key if there are any customers. */
    bool hasCustomers() const { return !this->list.empty(); }
    /** True if any customer has a limit. */
    bool hasLimits() const { return this->anyHasLimit; }
    /** The customer to whom the key belongs; null if there is none. */
    const Customer* findByKey(const KeyDigest& key) const;
    /** Null if there is no customer of this name. */
    const Customer* byName(std::string_view name) const;
    std::span<const Customer> all() const { return this->list; }
    std::size_t keys() const { return this->byKey.size(); }

private:
    std::vector<Customer> list; // sorted by name
    bool anyHasLimit = false;
    std::vector<std::pair<KeyDigest, std::size_t>> byKey; // sorted by key; the number is an index of the list
};

/** Adds a finding for each key that belongs to two customers, and for each duplicate name. */
void checkCustomers(std::span<const Customer> customers, const std::string& place, Findings& findings);

}
