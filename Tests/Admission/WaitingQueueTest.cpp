#include "Admission/WaitingQueue.h"

#include <vector>

// Redefines operator new: after all other headers.
#include <CppUTest/TestHarness.h>

using namespace burlreach;

TEST_GROUP(WaitingQueue)
{
    WaitingQueue queue;
};

TEST(WaitingQueue, LowestRankFirstThenOrderOfArrival)
{
    this->queue.push(2, 1);
    this->queue.push(1, 2);
    this->queue.push(2, 3);
    this->queue.push(0, 4);
    LONGS_EQUAL(2, this->queue.countAhead(1));
    for (const RequestNumber expected : { 4U, 2U, 1U, 3U })
        LONGS_EQUAL(expected, *this->queue.pop());
    CHECK_FALSE(this->queue.pop().has_value());
}

TEST(WaitingQueue, ALaterRankIsNotStarved)
{
    for (RequestNumber number = 0; number < 200; ++number)
        this->queue.push(0, number);
    this->queue.push(5, 1000);
    int before = 0;
    while (*this->queue.pop() != 1000)
        ++before;
    CHECK(before < 25);
}

TEST(WaitingQueue, PushFrontRestoresTheOrder)
{
    this->queue.push(1, 1);
    this->queue.push(1, 2);
    const RequestNumber first = *this->queue.pop();
    this->queue.pushFront(1, first);
    LONGS_EQUAL(first, *this->queue.pop());
}

TEST(WaitingQueue, RemovesFromTheMiddle)
{
    for (const RequestNumber number : { 1U, 2U, 3U })
        this->queue.push(1, number);
    this->queue.remove(2);
    this->queue.remove(99);
    LONGS_EQUAL(2, this->queue.size());
    LONGS_EQUAL(1, *this->queue.pop());
    LONGS_EQUAL(3, *this->queue.pop());
}
