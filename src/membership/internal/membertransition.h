#pragma once

#include "model/messages.h"

#include <string>

namespace vanillatack {

/// Order of a reported incarnation relative to the known incarnation.
enum class IncarnationOrder {
    Older,
    Same,
    Newer,
};

IncarnationOrder compareIncarnations(std::uint64_t reported, std::uint64_t known);

/// State of a member after a message reported a state. Mirrors charts/member.chart.
MemberState nextMemberState(MemberState current, MemberState reported, IncarnationOrder order);

/// Whether the member is alive, suspect or draining.
bool isLive(MemberState state);

} // namespace vanillatack
