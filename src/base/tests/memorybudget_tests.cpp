#include "base/memorybudget.h"

#include <CppUTest/TestHarness.h>

using namespace vanillatack;

TEST_GROUP(MemoryBudget)
{
    static constexpr std::size_t Limit = 8 * MemoryBudget::SmallBytes;
    std::shared_ptr<MemoryBudget> budget = std::make_shared<MemoryBudget>(Limit);

    MemoryCharge charge(std::size_t bytes, MemoryOwner owner = MemoryOwner::Caller)
    {
        MemoryCharge result(budget, owner);
        CHECK(result.tryResize(bytes));
        return result;
    }
};

TEST(MemoryBudget, allOwnersShareOneLimit)
{
    const MemoryCharge caller = charge(3 * MemoryBudget::SmallBytes);
    const MemoryCharge node = charge(3 * MemoryBudget::SmallBytes, MemoryOwner::Node);
    MemoryCharge instance(budget, MemoryOwner::Instance);
    CHECK(!instance.tryResize(2 * MemoryBudget::SmallBytes));
    LONGS_EQUAL(0, instance.bytes());
    LONGS_EQUAL(3 * MemoryBudget::SmallBytes, budget->usedFor(MemoryOwner::Node));
    LONGS_EQUAL(0, budget->usedFor(MemoryOwner::Instance));
    LONGS_EQUAL(6 * MemoryBudget::SmallBytes, budget->used());
    LONGS_EQUAL(1, budget->shortages());
}

// Guards against short requests that are refused because long ones fill the memory.
TEST(MemoryBudget, keepsRoomForSmallCharges)
{
    const MemoryCharge large = charge(budget->largeLimit());
    MemoryCharge another(budget, MemoryOwner::Caller);
    CHECK(!another.tryResize(MemoryBudget::SmallBytes + 1));
    CHECK(another.tryResize(MemoryBudget::SmallBytes));
    CHECK(!MemoryCharge(budget, MemoryOwner::Caller).tryResize(1));
}

TEST(MemoryBudget, movedAndDestroyedChargesAreCountedOnce)
{
    {
        MemoryCharge first = charge(1000);
        MemoryCharge second = std::move(first);
        LONGS_EQUAL(1000, budget->used());
        second = charge(10);
        LONGS_EQUAL(10, budget->used());
        second.resize(Limit + 1); // Held already, also beyond the limit.
        LONGS_EQUAL(Limit + 1, budget->used());
        CHECK(second.tryResize(5));
        LONGS_EQUAL(5, budget->used());
    }
    LONGS_EQUAL(0, budget->used());
}
