#include "store/platformprotocol.h"
#include "store/platformsetup.h"
#include "testing/manualexecutor.h"

#include <CppUTest/TestHarness.h>

using namespace vanillatack;

TEST_GROUP(MemoryStore)
{
    MemoryStore store;
};

// Guards against partially applied transactions.
TEST(MemoryStore, transactionIsAllOrNothing)
{
    CHECK(store.commit({{"a", "1", 0}}).value().committed);
    const TableCommit rejected = store.commit({{"b", "1", 0}, {"a", "2", 0}}).value();
    CHECK(!rejected.committed);
    LONGS_EQUAL(1, rejected.conflicts.size());
    LONGS_EQUAL(1, rejected.conflicts[0]);
    CHECK(!store.read("b").has_value());
    const TableCommit accepted = store.commit({{"b", "1", 0}, {"a", "2", 1}}).value();
    LONGS_EQUAL(2, accepted.versions[1]);
    STRCMP_EQUAL("2", store.read("a")->value.c_str());
}

// Guards against a second write of a row in a transaction that bypasses its precondition.
TEST(MemoryStore, transactionWithADuplicateKeyIsRejected)
{
    CHECK(store.commit({{"a", "1", 0}, {"a", "2", 0}}).error().kind == ErrorKind::InvalidArgument);
    CHECK(!store.read("a").has_value());
}

// Guards against scans that return rows outside the prefix, return the last row again or ignore the limit.
TEST(MemoryStore, scanStartsAfterTheGivenKey)
{
    store.commit({{"p/1", "", {}}, {"p/2", "", {}}, {"p/3", "", {}}, {"q", "", {}}}).value();
    LONGS_EQUAL(2, store.scan("p/", "", 2).size());
    const auto rest = store.scan("p/", "p/2", 10);
    LONGS_EQUAL(1, rest.size());
    STRCMP_EQUAL("p/3", rest[0].key.c_str());
}

// Guards against objects that are overwritten.
TEST(MemoryStore, objectsAreImmutable)
{
    CHECK(store.putObject("o", "x").has_value());
    CHECK(store.putObject("o", "x").has_value());
    CHECK(store.putObject("o", "y").error().kind == ErrorKind::Conflict);
    STRCMP_EQUAL("x", store.getObject("o")->c_str());
}

TEST_GROUP(MemoryPlatform)
{
    ManualClock clock;
    ManualExecutor executor{clock};
};

// Guards against completions that run within the call, where the caller's state may be inconsistent.
TEST(MemoryPlatform, completionsRunAsynchronously)
{
    PlatformServices platform = makeMemoryPlatform(executor);
    bool committed = false;
    std::optional<std::string> content;
    platform.table->commit({{"a", "1", 0}}, [&](const Result<TableCommit> &result) {
        committed = result.value().committed;
    });
    platform.objects->put("o", "x", [](const Result<void> &) {});
    platform.objects->get("o", [&](const Result<std::optional<std::string>> &result) {
        content = result.value();
    });
    CHECK(!committed);
    LONGS_EQUAL(3, executor.runDue());
    CHECK(committed);
    STRCMP_EQUAL("x", content->c_str());
}

TEST_GROUP(PlatformProtocol){};

// Guards against values that the encoding corrupts, such as stored responses that are not UTF-8.
TEST(PlatformProtocol, valuesRoundTripAllBytes)
{
    std::string bytes;
    for (int byte = 0; byte < 256; ++byte) {
        bytes += static_cast<char>(byte);
    }
    const TableRow row{.key = "claim/ä", .value = bytes, .version = 7};
    CHECK(decodeRow(encodeRow(row)).value() == row);
    CHECK(encodeKeys({bytes}).error().kind == ErrorKind::InvalidArgument);
}

// Guards against exceptions that escape the decoder, and against partially decoded messages.
TEST(PlatformProtocol, malformedMessagesAreErrors)
{
    for (const char *text : {"",
                             "[]",
                             "{",
                             R"({"rows":[{"key":"a"}]})",
                             R"({"rows":[{"key":1,"value":"","version":1}]})",
                             R"({"rows":[{"key":"a","value":"?","version":1}]})"}) {
        CHECK(decodeRows(text).error().kind == ErrorKind::InvalidMessage);
        CHECK(decodeWrites(text).error().kind == ErrorKind::InvalidMessage);
    }
}
