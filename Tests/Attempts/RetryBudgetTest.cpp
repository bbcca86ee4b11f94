#include "Attempts/RetryBudget.h"

#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, RetriesStayWithinTheShareOfFirstAttempts)
{
    for (const double share : { 0.0, 0.05, 0.1, 0.5 }) {
        RetryBudget budget(share);
        constexpr int firstAttempts = 10000;
        constexpr int savedAtStart = 10;
        int retries = 0;
        for (int attempt = 0; attempt < firstAttempts; ++attempt) {
            budget.firstAttempt();
            while (budget.take())
                ++retries;
        }
        CHECK(retries <= savedAtStart + share * firstAttempts + 1);
        CHECK(retries >= share * firstAttempts - 1);
    }
}
