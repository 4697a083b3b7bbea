// Tests of documents over the HTTP client and the stand-in platform.

// Before CppUTest, whose macro for new does not allow the placement new in <regex>.
#include <httplib.h>

#include "documents/documentssetup.h"
#include "standin/standinplatform.h"
#include "store/platformsetup.h"
#include "testing/manualexecutor.h"

#include <CppUTest/TestHarness.h>

#include <thread>

using namespace vanillatack;

namespace {

/// The only node of a fleet.
class SingleNode final : public IMessageSender, public IDocumentPeers, public IDocumentsListener
{
public:
    void send(const Endpoint &, const ControlMessage &) override
    {
    }

    std::vector<Endpoint> spreadTargets(std::size_t) override
    {
        return {};
    }

    [[nodiscard]] bool isAmongFirstRelays(std::size_t) const override
    {
        return true;
    }

    void onDocument(DocumentKind, const Document &) override
    {
    }

    void onWithdrawals(const std::vector<WithdrawnKey> &) override
    {
    }
};

} // namespace

TEST_GROUP(DocumentsOverHttp)
{
    ManualClock clock;
    SystemClock systemClock; ///< Clock of the client, read by its threads.
    ManualExecutor executor{clock};
    SingleNode node;
};

// Guards against rows or objects that the protocol alters, and against wrong outcomes after lost responses.
TEST(DocumentsOverHttp, applySucceedsDespiteLostResponses)
{
    std::uint64_t lost = 0;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        StandInPlatform standIn({.threads = 8});
        CHECK(standIn.start().has_value());
        CHECK(standIn
                  .setFaults({.loseAnswerProbability = 0.5,
                              .loss = seed % 2 == 0 ? AnswerLoss::Drop : AnswerLoss::Error,
                              .seed = seed})
                  .has_value());
        PlatformServices platform = makeHttpPlatform({.port = standIn.port(), .threads = 1}, systemClock, executor);
        SeededRandom random(seed);
        DocumentsSettings settings;
        // The clock advances with the responses, so that the number of attempts does not depend on the machine.
        settings.operationTimeout = std::chrono::minutes(1);
        const auto documents =
            makeDocuments(clock, random, *platform.table, *platform.objects, node, node, node, NodeName("n"), settings);
        std::optional<Result<std::uint64_t>> outcome;
        documents->apply(
            {.kind = DocumentKind::Configuration, .baseVersion = 0, .content = "first", .author = "ann", .note = "ä"},
            [&](const Result<std::uint64_t> &result) {
                outcome = result;
            });
        while (!outcome) {
            documents->tick();
            if (executor.runDue() > 0) {
                executor.runFor(settings.retryInterval);
            }
            std::this_thread::yield();
        }
        LONGS_EQUAL(1, outcome->value());
        lost += standIn.counters().answersLost;
        CHECK(standIn.store().read("documents/config/pointer").has_value());
    }
    CHECK(lost > 0);
}
