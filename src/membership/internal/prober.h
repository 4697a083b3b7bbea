#pragma once

#include "membership/internal/localstate.h"

#include <optional>
#include <vector>

namespace vanillatack {

/// SWIM failure detection: pings one member per period, first directly and then through other members, and suspects it
/// if no ack arrives.
class Prober
{
public:
    explicit Prober(LocalState &state);

    void tick();

    /// Cancels the running probe without a result, because this process was paused and may have missed the ack.
    void cancelProbe();

    /// Completes the running probe, or forwards the ack to the node that requested the probe.
    void onAck(const Ack &message);

    void onPingIndirect(const PingIndirect &message);

private:
    struct Probe {
        std::uint64_t sequence = 0;
        NodeName target;
        std::uint64_t incarnation = 0;
        TimePoint sentAt;
        bool indirectSent = false;
    };

    /// A probe on behalf of another node.
    struct DelegatedProbe {
        std::uint64_t sequence = 0;
        std::uint64_t originSequence = 0;
        Endpoint origin;
        TimePoint sentAt;
    };

    /// A ping to a dead member that others reported alive.
    struct Verification {
        NodeName target;
        std::uint64_t incarnation = 0;
        TimePoint sentAt;
    };

    void startProbe();
    void probeIndirectly();
    void verifyDead();
    std::optional<NodeName> nextTarget();

    LocalState &m_state;
    TimePoint m_nextProbe;
    std::optional<Probe> m_probe;
    std::vector<DelegatedProbe> m_delegatedProbes;
    std::vector<Verification> m_verifications;
    std::vector<NodeName> m_probeOrder; ///< Members still to probe in this round, next one last.
};

} // namespace vanillatack
