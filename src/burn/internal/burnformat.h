#pragma once

#include "burn/burnreport.h"

namespace vanillatack {

// Texts shared by the renderers of the report.

std::string percent(double part);
std::string rate(double burnRate);
std::string objectiveText(const Objective &objective);
std::string alertText(const RouteBurn &route);
std::string worstText(const RouteBurn &route);

/// Sentence that names the missing availability zones; empty when there are none.
std::string missingText(const BurnReport &report);

std::string periodText(const BurnReport &report);

} // namespace vanillatack
