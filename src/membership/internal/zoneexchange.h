#pragma once

#include "membership/internal/localstate.h"

namespace vanillatack {

/// Digests: the relays of a zone summarize it, exchange heartbeats with relays of other zones, and every node spreads
/// newer digests inside its zone.
///
/// The first relay decides alone what the digest of its zone says, so that the four relays do not contradict each other
/// while an update is on its way; the others step in when it is silent.
class ZoneExchange
{
public:
    explicit ZoneExchange(LocalState &state);

    void tick();

    /// The sender's endpoint is looked up by its name; the address of a TCP connection is not its node port.
    void receive(const Endpoint &from, const ZoneDigest &message);

    /// A node of another zone that is no known relay made contact; it gets to know all zones.
    void introduceZones(const Member &node);

    [[nodiscard]] bool isFirstRelay() const;
    [[nodiscard]] bool isReachable(const ZoneRecord &record, Duration limit) const;

private:
    void relayTick();
    void refreshOwnDigest(ZoneRecord &own, bool first);
    [[nodiscard]] std::uint64_t nextVersion(std::uint64_t known) const;
    bool mayReplace(const ZoneRecord &own, bool first);
    void sendHeartbeats(ZoneRecord &own, bool first);
    void pollVersions();
    void askForMissed();
    void expireContacts();
    void contactStrangers(const ZoneRecord &record);
    void answerRequest(const Endpoint &to, const ZoneDigest &request);
    void requestContent(ZoneRecord &record, const Endpoint &from);
    void spread(const ZoneDigest &digest);
    void passHeartbeat(ZoneRecord &record, std::uint64_t heartbeat);
    [[nodiscard]] ZoneDigest freshHeartbeat(const ZoneRecord &record) const;
    [[nodiscard]] ZoneContent summarize() const;
    [[nodiscard]] StateVersions lowestVersions() const;
    [[nodiscard]] Endpoint endpointOf(const NodeName &sender, const ZoneName &zone, const Endpoint &fallback) const;

    LocalState &m_state;
    TimePoint m_nextRelayTick;
    TimePoint m_nextAnswer;
    std::optional<NodeName> m_lastPolled;
    std::uint64_t m_summarizedGeneration = 0;
    ZoneContent m_summary; ///< Own view of the zone at the last relay tick.
    bool m_summaryChanged = false; ///< Since the last digest that was made or adopted.
    std::optional<TimePoint> m_differsSince;
};

} // namespace vanillatack
