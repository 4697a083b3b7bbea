#pragma once

#include "membership/internal/localstate.h"
#include "membership/internal/prober.h"
#include "membership/internal/zoneexchange.h"

namespace vanillatack {

class Membership final : public IMembership
{
public:
    Membership(IClock &clock,
               IRandom &random,
               IMessageSender &sender,
               IMembershipListener &listener,
               const SelfDescription &self,
               const MembershipSettings &settings);

    void tick() override;
    void receive(const Endpoint &from, const Ping &message) override;
    void receive(const Endpoint &from, const PingIndirect &message) override;
    void receive(const Endpoint &from, const Ack &message) override;
    void receive(const Endpoint &from, const MemberSync &message) override;
    void receive(const Endpoint &from, const ZoneDigest &message) override;
    void setUpstream(const ServiceName &service, int slots, bool cold) override;
    void setDraining(bool draining) override;
    void leave() override;
    void setVersions(const StateVersions &versions) override;
    void addSeeds(const std::vector<Endpoint> &seeds) override;
    [[nodiscard]] const Member &self() const override;
    [[nodiscard]] std::vector<Member> members() const override;
    [[nodiscard]] std::vector<ZoneStatus> zones() const override;
    [[nodiscard]] std::vector<Member> shareOwners() const override;
    [[nodiscard]] std::vector<Endpoint> spreadTargets(std::size_t count) override;
    [[nodiscard]] bool isAmongFirstRelays(std::size_t count) const override;
    [[nodiscard]] std::optional<Duration> timeSinceOtherZoneMessage() const override;

private:
    /// Reason why this node no longer sends or processes messages.
    enum class StopReason {
        None,
        Left,
        Superseded, ///< A process with the same name and a higher incarnation runs at another address.
    };

    void resumeAfterPause(Duration gap);
    void gossip();
    void contactNonMembers();
    [[nodiscard]] std::vector<Member> contactCandidates() const;
    void notifyServiceChanges();
    /// Increments the own incarnation and queues the own entry for gossip.
    void bumpIncarnation();
    void refute(const Member &reported);
    void mergeReport(const Member &reported);
    void handleDirectMessage(const Member &sender, const std::vector<Member> &updates, const StateVersions &versions);
    void compareHash(const Member &sender, std::uint64_t hash);
    void sendSync(const Endpoint &to, bool replyWanted);
    [[nodiscard]] std::vector<Member> instancesOf(const ServiceName &service) const;
    void warnAboutDuplicateSlots();

    LocalState m_state;
    IMembershipListener &m_listener;
    Prober m_prober;
    ZoneExchange m_exchange;
    std::vector<Endpoint> m_seeds;
    std::map<ServiceName, std::vector<Member>> m_notifiedInstances; ///< Lists of which the listener was last notified.
    StopReason m_stopReason = StopReason::None;
    TimePoint m_startedAt; ///< Start of the process, or time of the last rejoin after a pause.
    TimePoint m_lastTick;
    TimePoint m_nextGossip;
    TimePoint m_nextContact;
    TimePoint m_lastHashMatch;
    TimePoint m_nextSync;
    std::set<int> m_reportedDuplicateSlots; ///< Duplicates that have been logged.
    std::uint64_t m_slotsCheckedGeneration = 0; ///< Table generation of the last check for duplicates.
};

} // namespace vanillatack
