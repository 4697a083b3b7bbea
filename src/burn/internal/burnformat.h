#pragma once

#include "burn/burnreport.h"

namespace vanillatack {

// Text formatting shared by the report renderers; defined in burntext.cpp.

/// Formats a fraction from 0 to 1 as a percentage.
std::string formatPercent(double fraction);
std::string formatBurnRate(double burnRate);
std::string objectiveText(const Objective &objective);
std::string alertText(const RouteBurn &route);
std::string worstWorkspaceText(const RouteBurn &route);

/// Sentence that lists the missing availability zones; empty if there are none.
std::string missingZonesText(const BurnReport &report);

std::string periodText(const BurnReport &report);

} // namespace vanillatack
