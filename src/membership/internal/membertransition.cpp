#include "membership/internal/membertransition.h"

#include <array>

namespace vanillatack {

namespace {

using enum MemberState;

// Rows: known state; columns: reported state, both in the order of the enum. A draining member keeps its state while it
// is suspected, so that a false suspicion cannot give it new work; the suspicion is timed separately.
constexpr std::array<std::array<MemberState, 5>, 5> SameIncarnation{{
    {Alive, Suspect, Draining, Left, Dead},
    {Suspect, Suspect, Draining, Left, Dead},
    {Draining, Draining, Draining, Left, Dead},
    {Left, Left, Left, Left, Left},
    {Dead, Dead, Dead, Left, Dead},
}};

} // namespace

IncarnationOrder compareIncarnations(std::uint64_t reported, std::uint64_t known)
{
    if (reported == known) {
        return IncarnationOrder::Same;
    }
    return reported < known ? IncarnationOrder::Older : IncarnationOrder::Newer;
}

MemberState nextMemberState(MemberState current, MemberState reported, IncarnationOrder order)
{
    switch (order) {
    case IncarnationOrder::Older:
        return current;
    case IncarnationOrder::Newer:
        return reported;
    case IncarnationOrder::Same:
        break;
    }
    return SameIncarnation.at(static_cast<std::size_t>(current)).at(static_cast<std::size_t>(reported));
}

bool isLive(MemberState state)
{
    return state == Alive || state == Suspect || state == Draining;
}

} // namespace vanillatack
