#pragma once

#include "base/clock.h"

#include <string>

namespace vanillatack {

/// A duration in seconds, with fractions.
double toSeconds(Duration duration);

Duration fromSeconds(double seconds);

/// Whole milliseconds as text, for logs and headers.
std::string millisecondsText(Duration duration);

} // namespace vanillatack
