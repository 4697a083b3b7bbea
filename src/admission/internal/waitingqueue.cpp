#include "admission/internal/waitingqueue.h"

#include "base/invariant.h"

#include <algorithm>

namespace vanillatack {

namespace {

/// How long a lane serves its newest requests first after one could not finish in time.
constexpr Duration NewestFirstPeriod = std::chrono::seconds(1);
constexpr int DeferrableReserveDivisor = 4;

} // namespace

int WaitingQueue::Flow::size() const
{
    return static_cast<int>(fresh.size() + aged.size());
}

std::int64_t WaitingQueue::Flow::share(int additional) const
{
    return 1000LL * (size() + additional) / weight;
}

void WaitingQueue::configure(const AdmissionSettings &settings)
{
    m_deferrableReserve = settings.queueLimit / DeferrableReserveDivisor;
    m_weights = {settings.weights.begin(), settings.weights.end()};
    for (Lane &lane : m_lanes) {
        lane.byShare.clear();
        for (const auto &[workspace, index] : lane.flowOf) {
            Flow &flow = lane.flows[index];
            flow.weight = weightOf(workspace);
            if (flow.size() > 0) {
                lane.byShare.emplace(flow.share(), index);
            }
        }
    }
}

void WaitingQueue::add(WaitingRequest request)
{
    Line single;
    single.push_back(std::move(request));
    insert(std::move(single));
}

std::optional<WaitingRequest> WaitingQueue::remove(TicketId ticket)
{
    Line single = extract(ticket);
    if (single.empty()) {
        return std::nullopt;
    }
    return std::move(single.front());
}

std::optional<WaitingRequest>
WaitingQueue::takeNext(TimePoint now, Duration needed, bool backgroundAllowed, std::vector<WaitingRequest> &hopeless)
{
    for (std::size_t index = 0; index < LaneCount; ++index) {
        if (!backgroundAllowed && index >= laneOf(PriorityClass::Background, true)) {
            break;
        }
        if (auto taken = takeFromLane(m_lanes[index], now, needed, hopeless)) {
            return taken;
        }
    }
    return std::nullopt;
}

std::vector<WaitingRequest> WaitingQueue::takeExpired(TimePoint now)
{
    std::vector<WaitingRequest> expired;
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        expired.push_back(*remove(TicketId{m_expiries.begin()->second}));
        noteHopeless(expired.back(), now);
    }
    return expired;
}

void WaitingQueue::promoteAged(TimePoint now)
{
    while (!m_agings.empty() && m_agings.begin()->first <= now) {
        Line single = extract(TicketId{m_agings.begin()->second});
        single.front().aged = true;
        single.front().agesAt.reset();
        insert(std::move(single));
    }
}

std::optional<TicketId> WaitingQueue::findVictim(const AdmissionRequest &arrival, TimePoint now) const
{
    const std::size_t arrivalLane = laneOf(arrival.priority, arrival.inProgress);
    const std::optional<std::size_t> victims = victimLane(arrivalLane);
    if (!victims) {
        return std::nullopt;
    }
    const Lane &lane = m_lanes[*victims];
    const Flow &largest = lane.flows[lane.byShare.rbegin()->second];
    const bool lifo = newestFirst(lane, now);
    if (*victims != arrivalLane) {
        return victimOf(largest, lifo);
    }
    const auto own = lane.flowOf.find(arrival.workspace);
    const Flow *ownFlow = own == lane.flowOf.end() ? nullptr : &lane.flows[own->second];
    const std::int64_t ownShare = ownFlow == nullptr ? 1000LL / weightOf(arrival.workspace) : ownFlow->share(1);
    if (largest.share() > ownShare) {
        return victimOf(largest, lifo);
    }
    // The arrival's own workspace loses: its oldest request when that would not be served any more.
    if (lifo && ownFlow != nullptr && !ownFlow->fresh.empty()) {
        return ownFlow->fresh.front().ticket;
    }
    return std::nullopt;
}

std::optional<WaitingRequest> WaitingQueue::displaceFor(const AdmissionRequest &arrival, TimePoint now)
{
    const auto victim = findVictim(arrival, now);
    if (!victim) {
        return std::nullopt;
    }
    Lane &lane = m_lanes[m_positions.at(*victim).lane];
    if (newestFirst(lane, now)) {
        lane.newestFirstUntil = now + NewestFirstPeriod;
    }
    return remove(*victim);
}

std::optional<std::size_t> WaitingQueue::victimLane(std::size_t arrivalLane) const
{
    const bool reserveLeft = deferrableSize() < m_deferrableReserve;
    const bool usesReserve = isDeferrable(arrivalLane) && reserveLeft;
    // Critical requests give way to no other class.
    const std::size_t first = usesReserve ? laneOf(PriorityClass::Interactive, true) : arrivalLane;
    for (std::size_t lane = LaneCount; lane-- > first;) {
        const bool kept = isDeferrable(lane) && (usesReserve || (!isDeferrable(arrivalLane) && reserveLeft));
        if (m_lanes[lane].size > 0 && !kept) {
            return lane;
        }
    }
    return std::nullopt;
}

bool WaitingQueue::isDeferrable(std::size_t lane)
{
    return lane == laneOf(PriorityClass::Deferrable, true) || lane == laneOf(PriorityClass::Deferrable, false);
}

int WaitingQueue::deferrableSize() const
{
    return m_lanes[laneOf(PriorityClass::Deferrable, true)].size
        + m_lanes[laneOf(PriorityClass::Deferrable, false)].size;
}

TicketId WaitingQueue::leastImportant(TimePoint now) const
{
    const auto lane = std::find_if(m_lanes.rbegin(), m_lanes.rend(), [](const Lane &each) {
        return each.size > 0;
    });
    VT_INVARIANT(lane != m_lanes.rend(), "only a queue that is not empty has a least important request");
    return victimOf(lane->flows[lane->byShare.rbegin()->second], newestFirst(*lane, now));
}

int WaitingQueue::size() const
{
    return static_cast<int>(m_positions.size());
}

int WaitingQueue::foregroundSize() const
{
    return size() - m_lanes[laneOf(PriorityClass::Background, true)].size
        - m_lanes[laneOf(PriorityClass::Background, false)].size;
}

std::size_t WaitingQueue::laneOf(PriorityClass priority, bool inProgress)
{
    return 2 * static_cast<std::size_t>(priority) + (inProgress ? 0 : 1);
}

std::size_t WaitingQueue::flowOf(Lane &lane, const WorkspaceName &workspace)
{
    const auto [position, inserted] = lane.flowOf.try_emplace(workspace, lane.flows.size());
    if (inserted) {
        lane.flows.emplace_back();
        lane.flows.back().weight = weightOf(workspace);
    }
    return position->second;
}

int WaitingQueue::weightOf(const WorkspaceName &workspace) const
{
    const auto found = m_weights.find(workspace);
    return found == m_weights.end() ? 1 : std::max(1, found->second);
}

void WaitingQueue::insert(Line &&single)
{
    WaitingRequest &entry = single.front();
    const auto priority =
        entry.aged ? static_cast<PriorityClass>(static_cast<int>(entry.request.priority) - 1) : entry.request.priority;
    const std::size_t laneIndex = laneOf(priority, entry.request.inProgress);
    Lane &lane = m_lanes[laneIndex];
    const std::size_t flowIndex = flowOf(lane, entry.request.workspace);
    Flow &flow = lane.flows[flowIndex];

    m_expiries.emplace(entry.expires, entry.ticket.value);
    if (entry.agesAt) {
        m_agings.emplace(*entry.agesAt, entry.ticket.value);
    }
    const bool inserted = m_positions.emplace(entry.ticket, Position{laneIndex, flowIndex, single.begin()}).second;
    VT_INVARIANT(inserted, "a ticket waits at most once");
    lane.byShare.erase({flow.share(), flowIndex});
    Line &line = entry.aged ? flow.aged : flow.fresh;
    line.splice(line.end(), single);
    lane.byShare.emplace(flow.share(), flowIndex);
    ++lane.size;
    if (!flow.inTurnOrder) {
        flow.inTurnOrder = true;
        lane.turns.push_back(flowIndex);
    }
}

WaitingQueue::Line WaitingQueue::extract(TicketId ticket)
{
    Line single;
    const auto found = m_positions.find(ticket);
    if (found == m_positions.end()) {
        return single;
    }
    const Position position = found->second;
    m_positions.erase(found);
    Lane &lane = m_lanes[position.lane];
    Flow &flow = lane.flows[position.flow];
    const WaitingRequest &entry = *position.request;
    m_expiries.erase({entry.expires, ticket.value});
    if (entry.agesAt) {
        m_agings.erase({*entry.agesAt, ticket.value});
    }
    lane.byShare.erase({flow.share(), position.flow});
    Line &line = entry.aged ? flow.aged : flow.fresh;
    single.splice(single.end(), line, position.request);
    if (flow.size() > 0) {
        lane.byShare.emplace(flow.share(), position.flow);
    }
    --lane.size;
    VT_INVARIANT(lane.size >= 0, "a lane counts its waiting requests");
    return single;
}

std::optional<WaitingRequest>
WaitingQueue::takeFromLane(Lane &lane, TimePoint now, Duration needed, std::vector<WaitingRequest> &hopeless)
{
    while (!lane.turns.empty()) {
        const std::size_t index = lane.turns.front();
        Flow &flow = lane.flows[index];
        if (flow.size() == 0) {
            flow.deficit = 0;
            flow.inTurnOrder = false;
            lane.turns.pop_front();
            continue;
        }
        if (flow.deficit == 0) {
            flow.deficit = flow.weight;
        }
        std::optional<WaitingRequest> taken = remove(nextOf(flow, newestFirst(lane, now)));
        if (now + needed > taken->request.deadline) {
            noteHopeless(*taken, now);
            hopeless.push_back(std::move(*taken));
            continue;
        }
        if (--flow.deficit == 0) {
            lane.turns.pop_front();
            lane.turns.push_back(index);
        }
        return taken;
    }
    VT_INVARIANT(lane.size == 0, "every waiting request gets its turn");
    return std::nullopt;
}

TicketId WaitingQueue::nextOf(Flow &flow, bool newestFirst)
{
    // Alternating keeps either kind from starving the other.
    flow.agedServedLast = !flow.aged.empty() && (flow.fresh.empty() || !flow.agedServedLast);
    if (flow.agedServedLast) {
        return flow.aged.front().ticket;
    }
    return newestFirst ? flow.fresh.back().ticket : flow.fresh.front().ticket;
}

TicketId WaitingQueue::victimOf(const Flow &flow, bool newestFirst)
{
    const Line &line = flow.fresh.empty() ? flow.aged : flow.fresh;
    return newestFirst ? line.front().ticket : line.back().ticket;
}

bool WaitingQueue::newestFirst(const Lane &lane, TimePoint now)
{
    return now < lane.newestFirstUntil;
}

void WaitingQueue::noteHopeless(const WaitingRequest &request, TimePoint now)
{
    // Deferrable requests must complete, so they keep their order.
    if (request.request.priority != PriorityClass::Deferrable) {
        m_lanes[laneOf(request.request.priority, request.request.inProgress)].newestFirstUntil =
            now + NewestFirstPeriod;
    }
}

} // namespace vanillatack
