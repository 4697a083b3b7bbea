#include "tool/tool.h"

#include <cstdlib>
#include <iostream>
#include <thread>

int main(int argc, char **argv)
{
    const vanillatack::SystemClock clock;
    const vanillatack::ToolEnvironment environment = {
        std::cin,
        std::cout,
        std::cerr,
        [](const std::string &name) {
            const char *value = std::getenv(name.c_str());
            return std::string(value ? value : "");
        },
        [](vanillatack::Duration duration) {
            std::this_thread::sleep_for(duration);
        },
        clock,
    };
    return vanillatack::runTool({argv + 1, argv + argc}, environment);
}
