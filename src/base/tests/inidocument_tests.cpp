#include "base/inidocument.h"

#include <CppUTest/TestHarness.h>

using namespace vanillatack;

TEST_GROUP(IniDocument)
{
    std::vector<TextProblem> problems;
};

// Guards against wrong line numbers in messages to operators.
TEST(IniDocument, entriesHaveTheirLineNumbers)
{
    const IniDocument document =
        IniDocument::parse("# comment\n[route certs]\nclass = critical\n\ndeadline = 2s\n", "a.ini", problems);
    LONGS_EQUAL(0, problems.size());
    LONGS_EQUAL(1, document.sections().size());
    STRCMP_EQUAL("route", document.sections()[0].kind.c_str());
    STRCMP_EQUAL("certs", document.sections()[0].name.c_str());
    LONGS_EQUAL(3, document.sections()[0].entries[0].line);
    LONGS_EQUAL(5, document.sections()[0].entries[1].line);
}

// Guards against reporting only the first of several errors.
TEST(IniDocument, readerReportsEveryProblem)
{
    const IniDocument document =
        IniDocument::parse("[node]\nport = 99999\ntypo = 1\ndelay = 2 weeks\n", "a.ini", problems);
    IniSectionReader reader(document, document.sections()[0], problems);
    int port = 0;
    Duration delay{0};
    reader.readInteger("port", port, 1, 65535);
    reader.readDuration("delay", delay, Duration::zero(), std::chrono::hours(1));
    reader.require("name", "Add name = NODE.");
    reader.reportUnknown();
    LONGS_EQUAL(4, problems.size());
    STRCMP_EQUAL("a.ini:2: \"99999\" is not a valid number for port. Use a whole number from 1 to 65535.",
                 problems[0].text().c_str());
}

// Guards against truncation of overlong values without a problem report.
TEST(IniDocument, overlongLinesAreReported)
{
    IniDocument::parse("[a]\nb = " + std::string(5000, 'x') + "\n", "a.ini", problems);
    CHECK(!problems.empty());
}

// Guards against durations that change when they are formatted and parsed again.
TEST(IniDocument, durationsRoundTrip)
{
    for (const char *text : {"250ms", "2s", "5m", "1h", "7d", "1500ms"}) {
        const auto duration = parseDuration(text);
        CHECK(duration.has_value());
        STRCMP_EQUAL(text, formatDuration(*duration).c_str());
    }
    CHECK(!parseDuration("s").has_value());
    CHECK(!parseDuration("99999999999999d").has_value());
}

// Guards against loss of sections without entries and merging of sections with the same header.
TEST(IniDocument, everyHeaderStartsASection)
{
    const IniDocument document = IniDocument::parse("[a x]\n[a x]\nb = 1\n[c]\n", "a.ini", problems);
    LONGS_EQUAL(0, problems.size());
    LONGS_EQUAL(3, document.sections().size());
    LONGS_EQUAL(2, document.sections()[1].line);
    LONGS_EQUAL(1, document.sections()[1].entries.size());
}

// Guards against reporting only the first invalid line, and against ignoring a repeated setting without a report.
TEST(IniDocument, invalidLinesAndRepeatedEntriesAreAllReported)
{
    IniDocument::parse("[a]\nb = 1\nb = 2\nnonsense\n[open\n", "a.ini", problems);
    LONGS_EQUAL(3, problems.size());
}
