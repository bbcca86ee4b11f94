#include "Customers/CustomerTable.h"

#include <algorithm>
#include <map>

namespace burlreach {

CustomerTable::CustomerTable(std::span<const Customer> customers)
    : list(customers.begin(), customers.end())
    , anyHasLimit(
          std::any_of(customers.begin(), customers.end(), [](const Customer& item) { return item.limit.isSet(); }))
{
    std::sort(this->list.begin(), this->list.end(),
        [](const Customer& left, const Customer& right) { return left.name < right.name; });
    for (std::size_t index = 0; index < this->list.size(); ++index) {
        for (const KeyDigest& key : this->list[index].keys)
            this->byKey.emplace_back(key, index);
    }
    std::sort(this->byKey.begin(), this->byKey.end(),
        [](const auto& left, const auto& right) { return (left.first <=> right.first) < 0; });
}

const Customer* CustomerTable::findByKey(const KeyDigest& key) const
{
    const auto found = std::lower_bound(this->byKey.begin(), this->byKey.end(), key,
        [](const auto& item, const KeyDigest& wanted) { return (item.first <=> wanted) < 0; });
    if (found == this->byKey.end() || found->first != key)
        return nullptr;
    return &this->list[found->second];
}

const Customer* CustomerTable::byName(std::string_view name) const
{
    const auto found = std::lower_bound(this->list.begin(), this->list.end(), name,
        [](const Customer& customer, std::string_view wanted) { return customer.name < wanted; });
    return found == this->list.end() || found->name != name ? nullptr : &*found;
}

void checkCustomers(std::span<const Customer> customers, const std::string& place, Findings& findings)
{
    std::map<KeyDigest, std::string_view> holders;
    std::map<std::string_view, std::size_t> names;
    for (const Customer& customer : customers) {
        if (++names[customer.name] > 1)
            findings.add(place + "/" + customer.name, "already exists; choose another name");
        for (const KeyDigest& key : customer.keys) {
            const auto [holder, isNew] = holders.emplace(key, customer.name);
            if (!isNew && holder->second != customer.name)
                findings.add(place + "/" + customer.name,
                    "has a key that also belongs to \"" + std::string(holder->second)
                        + "\"; give each customer keys of its own");
        }
    }
}

}
