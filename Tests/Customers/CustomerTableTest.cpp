#include "Customers/CustomerTable.h"

#include <string>
#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

namespace {

Customer customer(const std::string& name, const std::vector<std::string>& keys)
{
    Customer made;
    made.name = name;
    for (const std::string& key : keys)
        made.keys.push_back(digestOfKey(key));
    return made;
}

struct Case {
    const char* name;
    std::vector<Customer> customers;
    std::size_t findings;
};

const std::vector<Case> Cases{
    { "none", {}, 0 },
    { "different keys", { customer("a", { "1", "2" }), customer("b", { "3" }) }, 0 },
    { "no key", { customer("a", {}), customer("b", { "3" }) }, 0 },
    { "a duplicate key of one customer", { customer("a", { "1", "1" }) }, 0 },
    { "a key of two customers", { customer("a", { "1", "2" }), customer("b", { "3", "2" }) }, 1 },
    { "a duplicate name", { customer("a", { "1" }), customer("a", { "2" }) }, 1 },
};

}

TEST_GROUP(CustomerTable){};

TEST(CustomerTable, FindsACustomerByItsKeysOnly)
{
    const std::vector<Customer> customers{ customer("b", { "beta" }), customer("a", { "alpha", "alpha-2" }),
        customer("none", {}) };
    const CustomerTable table(customers);
    LONGS_EQUAL(3, table.keys());
    STRCMP_EQUAL("a", table.findByKey(digestOfKey("alpha"))->name.c_str());
    STRCMP_EQUAL("a", table.findByKey(digestOfKey("alpha-2"))->name.c_str());
    STRCMP_EQUAL("b", table.findByKey(digestOfKey("beta"))->name.c_str());
    for (const char* key : { "", "alph", "alpha-", "ALPHA", "gamma" })
        CHECK_TEXT(!table.findByKey(digestOfKey(key)), key);
    CHECK(table.byName("none"));
    CHECK_FALSE(table.byName("c"));
    CHECK_FALSE(CustomerTable().hasCustomers());
}

TEST(CustomerTable, FindsOneOfAHundredThousandKeys)
{
    std::vector<Customer> customers;
    customers.reserve(4000);
    for (int index = 0; index < 4000; ++index) {
        std::vector<std::string> keys;
        keys.reserve(25);
        for (int key = 0; key < 25; ++key)
            keys.push_back(std::to_string(index) + "/" + std::to_string(key));
        customers.push_back(customer("c" + std::to_string(index), keys));
    }
    const CustomerTable table(customers);
    LONGS_EQUAL(100000, table.keys());
    STRCMP_EQUAL("c3999", table.findByKey(digestOfKey("3999/24"))->name.c_str());
    CHECK_FALSE(table.findByKey(digestOfKey("4000/0")));
}

TEST(CustomerTable, ReportsDuplicateKeysAndNames)
{
    for (const Case& item : Cases) {
        Findings findings;
        checkCustomers(item.customers, "customers", findings);
        LONGS_EQUAL_TEXT(item.findings, findings.all().size(), item.name);
    }
}

TEST(CustomerTable, WritesAndParsesADigestAsSixtyFourDigits)
{
    const KeyDigest digest = digestOfKey("abc");
    const std::string text = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    STRCMP_EQUAL(text.c_str(), digest.text().c_str());
    CHECK(parseKeyDigest(text) == digest);
    for (const std::string& other :
        { std::string(), text.substr(1), text + "0", "g" + text.substr(1), std::string("abc") })
        CHECK_TEXT(!parseKeyDigest(other), other.c_str());
}
