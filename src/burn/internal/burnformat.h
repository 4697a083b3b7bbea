#pragma once

#include "burn/burnreport.h"

namespace vanillatack {

// Text formatting shared by the report renderers.

std::string percent(double fraction);
std::string rate(double burnRate);
std::string objectiveText(const Objective &objective);
std::string alertText(const RouteBurn &route);
std::string worstWorkspaceText(const RouteBurn &route);

/// Sentence that lists the missing availability zones; empty if there are none.
std::string missingZonesText(const BurnReport &report);

std::string periodText(const BurnReport &report);

} // namespace vanillatack
