#pragma once

#include "membership/internal/localstate.h"

#include <optional>
#include <vector>

namespace vanillatack {

/// Failure detection: probes one member per period, directly and then through others, and suspects it when none of
/// these is acknowledged.
class Prober
{
public:
    explicit Prober(LocalState &state);

    void tick();

    /// Gives up the running probe without a verdict, since this node was paused and may have missed the answer.
    void abandonProbe();

    /// Ends the running probe or forwards the acknowledgement to the node that asked for the probe.
    void onAck(const Ack &message);

    void onIndirect(const PingIndirect &message);

private:
    struct Probe {
        std::uint64_t sequence = 0;
        NodeName target;
        std::uint64_t incarnation = 0;
        TimePoint sentAt;
        bool indirectSent = false;
    };

    /// A probe made on behalf of another node.
    struct Forward {
        std::uint64_t sequence = 0;
        std::uint64_t originSequence = 0;
        Endpoint origin;
        TimePoint sentAt;
    };

    /// A dead member that others reported alive.
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
    std::vector<Forward> m_forwards;
    std::vector<Verification> m_verifications;
    std::vector<NodeName> m_order;
};

} // namespace vanillatack
