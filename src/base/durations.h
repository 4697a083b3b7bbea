#pragma once

#include "base/clock.h"

#include <string>

namespace vanillatack {

double toSeconds(Duration duration);

Duration fromSeconds(double seconds);

/// Whole milliseconds, rounded towards zero, for logs and headers.
std::string millisecondsText(Duration duration);

} // namespace vanillatack
