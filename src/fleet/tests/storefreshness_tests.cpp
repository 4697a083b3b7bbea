#include "fleet/storefreshness.h"

#include <CppUTest/TestHarness.h>

using namespace vanillatack;
using namespace std::chrono_literals;

TEST_GROUP(StoreFreshness){};

TEST(StoreFreshness, isUnknownBeforeTheFirstAnswer)
{
    CHECK(!StoreFreshness().age(5s));
}

TEST(StoreFreshness, aDelayedAnswerConfirmsTheTimeAtWhichItWasMade)
{
    StoreFreshness freshness;
    freshness.confirm({.storeClock = 100s, .sent = 10s, .received = 10s + 4ms}); // Offset known to 4 ms.
    freshness.confirm({.storeClock = 102s,
                       .sent = 10s + 4ms,
                       .received = 12s + 500ms}); // Made at 12 s, received half a second later.
    CHECK(*freshness.age(13s) >= 1s);
    CHECK(*freshness.age(13s) <= 1s + 5ms);
}

TEST(StoreFreshness, aSuspensionCountsInFull)
{
    StoreFreshness freshness;
    freshness.confirm({.storeClock = 100s, .sent = 10s, .received = 10s + 4ms});
    // The answer stayed in the socket buffer while the VM was suspended for 8 s.
    freshness.confirm({.storeClock = 101s, .sent = 10s + 10ms, .received = 19s});
    CHECK(*freshness.age(19s) >= 7900ms);
}

TEST(StoreFreshness, aReplacedStoreResetsTheClockOffset)
{
    StoreFreshness freshness;
    freshness.confirm({.storeClock = 1000s, .sent = 10s, .received = 10s + 4ms});
    freshness.confirm({.storeClock = 3s, .sent = 20s, .received = 20s + 4ms});
    CHECK(*freshness.age(20s + 4ms) <= 4ms);
    freshness.confirm({.storeClock = 2000s, .sent = 30s, .received = 30s + 4ms});
    CHECK(*freshness.age(30s + 4ms) <= 4ms);
}

TEST(StoreFreshness, aForwardedAnswerConfirmsNoLaterTimeThanItsArrival)
{
    StoreFreshness freshness;
    freshness.confirm({.sent = 10s, .received = 11s, .confirmedAt = 9s});
    CHECK(*freshness.age(12s) == 3s);
    freshness.confirm({.sent = 11s, .received = 12s, .confirmedAt = 14s});
    CHECK(*freshness.age(12s) == 0s);
    freshness.confirm({.sent = 12s, .received = 13s, .confirmedAt = 8s}); // An older confirmation has no effect.
    CHECK(*freshness.age(13s) == 1s);
}
