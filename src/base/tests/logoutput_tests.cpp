#include "base/log.h"
#include "base/logoutput.h"

#include <atomic>
#include <csignal>
#include <string>
#include <thread>

#include <fcntl.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace vanillatack;
using namespace std::chrono_literals;

namespace {

constexpr Duration HangLimit = 30s;
constexpr std::size_t MaxBytes = 10000;

} // namespace

/// A pipe whose reader stands still unless the test reads.
TEST_GROUP(LogOutput)
{
    int pipeEnds[2] = {-1, -1};

    void setup() override
    {
        CHECK(pipe(pipeEnds) == 0);
        fcntl(pipeEnds[0], F_SETFL, O_NONBLOCK);
    }

    void teardown() override
    {
        close(pipeEnds[0]);
        close(pipeEnds[1]);
    }

    std::string readSome() const
    {
        std::string text(std::size_t{1} << 20, ' ');
        const ssize_t bytes = read(pipeEnds[0], text.data(), text.size());
        text.resize(bytes > 0 ? static_cast<std::size_t>(bytes) : 0);
        return text;
    }

    std::string readAll(LogOutput & output) const
    {
        std::string text;
        const auto start = std::chrono::steady_clock::now();
        while (!output.flush(1ms) && std::chrono::steady_clock::now() - start < HangLimit) {
            text += readSome();
        }
        return text + readSome();
    }
};

TEST(LogOutput, writesAllLinesInOrder)
{
    LogOutput output(pipeEnds[1]);
    std::string expected;
    for (int index = 0; index < 1000; ++index) {
        const std::string line = "line " + std::to_string(index) + "\n";
        CHECK(output.write(line));
        expected += line;
    }
    STRCMP_EQUAL(expected.c_str(), readAll(output).c_str());
    LONGS_EQUAL(0, output.droppedLines());
}

TEST(LogOutput, aStalledReaderCostsLinesButNoTime)
{
    LogOutput output(pipeEnds[1], MaxBytes);
    const std::string line(100, 'x');
    std::size_t taken = 0;
    for (int index = 0; index < 10000; ++index) {
        taken += output.write(line + "\n") ? 1 : 0;
    }
    CHECK(output.droppedLines() > 0);
    LONGS_EQUAL(10000, taken + output.droppedLines());
    LONGS_EQUAL(taken * (line.size() + 1), readAll(output).size());
    CHECK(output.write("again\n"));
    STRCMP_EQUAL("again\n", readAll(output).c_str());
}

TEST(LogOutput, endsAlthoughTheReaderStandsStill)
{
    const auto start = std::chrono::steady_clock::now();
    std::size_t taken = 0;
    {
        LogOutput output(pipeEnds[1]);
        const std::string line = std::string(100, 'x') + "\n";
        for (int index = 0; index < 3000; ++index) {
            taken += output.write(line) ? line.size() : 0;
        }
    }
    CHECK(std::chrono::steady_clock::now() - start < HangLimit);
    // Its thread goes on.
    std::size_t received = 0;
    while (received < taken && std::chrono::steady_clock::now() - start < HangLimit) {
        received += readSome().size();
    }
    LONGS_EQUAL(taken, received);
}

TEST(LogOutput, aReaderThatIsGoneCostsLinesOnly)
{
    signal(SIGPIPE, SIG_IGN);
    LogOutput output(pipeEnds[1]);
    close(pipeEnds[0]);
    CHECK(output.write("lost\n"));
    CHECK(output.flush(HangLimit));
    LONGS_EQUAL(1, output.droppedLines());
    pipeEnds[0] = dup(pipeEnds[1]);
}

// Guards against a process that answers nothing while the reader of its standard error stands still: each log line was
// written by the thread that logs, which is that of the event loop.
TEST(LogOutput, loggingDoesNotBlockOnTheReaderOfStandardError)
{
    const int standardError = dup(STDERR_FILENO);
    CHECK(dup2(pipeEnds[1], STDERR_FILENO) == STDERR_FILENO);
    startLogging(LogLevel::Info);
    std::atomic<bool> done = false;
    std::thread logging([&done] {
        constexpr Log TestLog("test");
        for (int index = 0; index < 10000; ++index) {
            TestLog.warning("A line for a reader that stands still.", {{"index", std::to_string(index)}});
        }
        flushLogging();
        done = true;
    });
    const auto start = std::chrono::steady_clock::now();
    while (!done && std::chrono::steady_clock::now() - start < 10s) {
        std::this_thread::sleep_for(1ms);
    }
    const bool inTime = done;
    std::string text;
    while (!done) {
        text += readSome();
    }
    logging.join();
    // The reader goes on, and the next line that is taken is followed by the number of the dropped ones.
    while (text.find("Lines were dropped") == std::string::npos
           && std::chrono::steady_clock::now() - start < HangLimit) {
        constexpr Log TestLog("test");
        TestLog.warning("The reader goes on.");
        text += readSome();
    }
    startLogging(LogLevel::Off);
    dup2(standardError, STDERR_FILENO);
    close(standardError);
    CHECK(inTime);
    STRCMP_CONTAINS("test: A line for a reader that stands still. index=0\n", text.c_str());
    STRCMP_CONTAINS("Lines were dropped", text.c_str());
}
