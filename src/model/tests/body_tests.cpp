#include "model/body.h"

#include <CppUTest/TestHarness.h>

using namespace vanillatack;

TEST_GROUP(Body)
{
    std::shared_ptr<MemoryBudget> budget = std::make_shared<MemoryBudget>(1000);
};

// Guards against memory that is counted as free while a queue or a connection still holds a body.
TEST(Body, copiesShareTheBytesAndTheirCharge)
{
    MemoryCharge charge(budget, MemoryOwner::Caller);
    CHECK(charge.tryResize(100));
    Body first(std::string(100, 'a'), std::move(charge));
    Body second = first;
    POINTERS_EQUAL(first.bytes().data(), second.bytes().data());
    first = {};
    LONGS_EQUAL(100, budget->used());
    STRCMP_EQUAL(std::string(100, 'a').c_str(), second.release().c_str());
    CHECK(second.empty());
    LONGS_EQUAL(0, budget->used());
}

TEST(Body, releaseLeavesOtherCopiesWhole)
{
    Body first("bytes");
    const Body second = first;
    STRCMP_EQUAL("bytes", first.release().c_str());
    STRCMP_EQUAL("bytes", second.bytes().c_str());
    STRCMP_EQUAL("", Body().release().c_str());
}
