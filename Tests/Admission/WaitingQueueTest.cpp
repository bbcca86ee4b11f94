#include "Admission/WaitingQueue.h"

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

TEST_GROUP(WaitingQueue)
{
    WaitingQueue queue;
};

TEST(WaitingQueue, FirstPriorityGoesAheadAndOthersStillMove)
{
    for (RequestNumber number = 1; number <= 60; ++number)
        this->queue.push(v1::FIRST, { .request = number, .deadline = { 1000 } });
    this->queue.push(v1::CAN_WAIT, { .request = 100, .deadline = { 1000 } });
    LONGS_EQUAL(60, this->queue.ahead(v1::FIRST));
    LONGS_EQUAL(61, this->queue.ahead(v1::CAN_WAIT));
    LONGS_EQUAL(1, this->queue.pop()->request);
    RequestNumber place = 2;
    while (this->queue.pop()->request != 100)
        ++place;
    LONGS_EQUAL(50, place);
}

TEST(WaitingQueue, ExpiredAndRemovedRequestsAreNotPopped)
{
    this->queue.push(v1::FIRST, { .request = 1, .deadline = { 10 } });
    this->queue.push(v1::FIRST, { .request = 2, .deadline = { 30 } });
    this->queue.push(v1::CAN_WAIT, { .request = 3, .deadline = { 10 } });
    const auto expired = this->queue.takeExpired({ 20 });
    LONGS_EQUAL(2, expired.size());
    this->queue.remove(2);
    CHECK_FALSE(this->queue.pop().has_value());
}
