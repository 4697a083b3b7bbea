// The cases of the second review that are scripts. Usage: review-case-2 CASE RECORD
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
#include "cases.h"
#include "fleet.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::fputs("usage: review-case-2 CASE RECORD\n", stderr);
        return 2;
    }
    const char *setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::strcmp(setting, "0") != 0;
    try {
        review::Record record(argv[2]);
        const std::string name = argv[1];
        int result = 2;
        if (name == "late-report") {
            result = review::runLateReport(record, trouble);
        } else if (name == "large-bodies") {
            result = review::runLargeBodies(record, trouble);
        } else if (name == "stalled-log") {
            result = review::runStalledLog(record, trouble);
        }
        record.line("result: " + std::to_string(result));
        return result;
    } catch (const std::exception &exception) {
        std::fprintf(stderr, "review-case-2: %s\n", exception.what());
        return 2;
    }
}
