#include "admission/internal/admissionqueue.h"

#include "base/invariant.h"

#include <algorithm>

namespace vanillatack {

namespace {

/// Time for which a lane stays in LIFO order after one of its requests could not be admitted in time.
constexpr Duration LifoPeriod = std::chrono::seconds(1);
/// The queue limit divided by this is reserved for deferrable requests.
constexpr int DeferrableReserveDivisor = 4;

} // namespace

int AdmissionQueue::Flow::size() const
{
    return static_cast<int>(notPromoted.size() + promoted.size());
}

std::int64_t AdmissionQueue::Flow::weightedSize(int additional) const
{
    return 1000LL * (size() + additional) / weight;
}

void AdmissionQueue::configure(const AdmissionSettings &settings)
{
    m_deferrableReserve = settings.queueLimit / DeferrableReserveDivisor;
    m_weights = {settings.weights.begin(), settings.weights.end()};
    for (Lane &lane : m_lanes) {
        lane.byWeightedSize.clear();
        for (const auto &[workspace, index] : lane.flowOf) {
            Flow &flow = lane.flows[index];
            flow.weight = weightOf(workspace);
            if (flow.size() > 0) {
                lane.byWeightedSize.emplace(flow.weightedSize(), index);
            }
        }
    }
}

void AdmissionQueue::add(QueuedRequest request)
{
    RequestList single;
    single.push_back(std::move(request));
    insert(std::move(single));
}

std::optional<QueuedRequest> AdmissionQueue::remove(TicketId ticket)
{
    RequestList single = extract(ticket);
    if (single.empty()) {
        return std::nullopt;
    }
    return std::move(single.front());
}

std::optional<QueuedRequest> AdmissionQueue::popNext(TimePoint now,
                                                     Duration minServiceTime,
                                                     bool backgroundAllowed,
                                                     std::vector<QueuedRequest> &infeasible)
{
    for (std::size_t index = 0; index < LaneCount; ++index) {
        if (!backgroundAllowed && index >= laneOf(PriorityClass::Background, true)) {
            break;
        }
        if (auto popped = popFromLane(m_lanes[index], now, minServiceTime, infeasible)) {
            return popped;
        }
    }
    return std::nullopt;
}

std::vector<QueuedRequest> AdmissionQueue::removeExpired(TimePoint now)
{
    std::vector<QueuedRequest> expired;
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        expired.push_back(*remove(TicketId{m_expiries.begin()->second}));
        switchToLifo(expired.back(), now);
    }
    return expired;
}

void AdmissionQueue::promoteAged(TimePoint now)
{
    while (!m_promotions.empty() && m_promotions.begin()->first <= now) {
        RequestList single = extract(TicketId{m_promotions.begin()->second});
        single.front().promoted = true;
        single.front().promoteAt.reset();
        insert(std::move(single));
    }
}

std::optional<TicketId> AdmissionQueue::findVictim(const AdmissionRequest &arrival, TimePoint now) const
{
    const std::size_t arrivalLane = laneOf(arrival.priority, arrival.innerCall);
    const std::optional<std::size_t> evictionLane = victimLane(arrivalLane);
    if (!evictionLane) {
        return std::nullopt;
    }
    const Lane &lane = m_lanes[*evictionLane];
    const Flow &largest = lane.flows[lane.byWeightedSize.rbegin()->second];
    const bool lifo = isLifo(lane, now);
    if (*evictionLane != arrivalLane) {
        return victimOf(largest, lifo);
    }
    const auto own = lane.flowOf.find(arrival.workspace);
    const Flow *ownFlow = own == lane.flowOf.end() ? nullptr : &lane.flows[own->second];
    const std::int64_t ownWeightedSize =
        ownFlow == nullptr ? 1000LL / weightOf(arrival.workspace) : ownFlow->weightedSize(1);
    if (largest.weightedSize() > ownWeightedSize) {
        return victimOf(largest, lifo);
    }
    // The arrival's own workspace loses a request: in LIFO order its oldest one, which would not be served any more;
    // otherwise the arrival itself is refused.
    if (lifo && ownFlow != nullptr && !ownFlow->notPromoted.empty()) {
        return ownFlow->notPromoted.front().ticket;
    }
    return std::nullopt;
}

std::optional<QueuedRequest> AdmissionQueue::evictFor(const AdmissionRequest &arrival, TimePoint now)
{
    const auto victim = findVictim(arrival, now);
    if (!victim) {
        return std::nullopt;
    }
    Lane &lane = m_lanes[m_positions.at(*victim).lane];
    if (isLifo(lane, now)) {
        lane.lifoUntil = now + LifoPeriod;
    }
    return remove(*victim);
}

std::optional<std::size_t> AdmissionQueue::victimLane(std::size_t arrivalLane) const
{
    const bool reserveLeft = deferrableSize() < m_deferrableReserve;
    const bool usesReserve = isDeferrable(arrivalLane) && reserveLeft;
    // While their reserve is not full, deferrable requests may also evict interactive ones, but never critical ones.
    const std::size_t first = usesReserve ? laneOf(PriorityClass::Interactive, true) : arrivalLane;
    for (std::size_t lane = LaneCount; lane-- > first;) {
        const bool reserved = isDeferrable(lane) && (usesReserve || (!isDeferrable(arrivalLane) && reserveLeft));
        if (m_lanes[lane].size > 0 && !reserved) {
            return lane;
        }
    }
    return std::nullopt;
}

bool AdmissionQueue::isDeferrable(std::size_t lane)
{
    return lane == laneOf(PriorityClass::Deferrable, true) || lane == laneOf(PriorityClass::Deferrable, false);
}

int AdmissionQueue::deferrableSize() const
{
    return m_lanes[laneOf(PriorityClass::Deferrable, true)].size
        + m_lanes[laneOf(PriorityClass::Deferrable, false)].size;
}

TicketId AdmissionQueue::leastImportant(TimePoint now) const
{
    const auto lane = std::find_if(m_lanes.rbegin(), m_lanes.rend(), [](const Lane &each) {
        return each.size > 0;
    });
    VT_INVARIANT(lane != m_lanes.rend(), "leastImportant() requires a non-empty queue");
    return victimOf(lane->flows[lane->byWeightedSize.rbegin()->second], isLifo(*lane, now));
}

int AdmissionQueue::size() const
{
    return static_cast<int>(m_positions.size());
}

int AdmissionQueue::foregroundSize() const
{
    return size() - m_lanes[laneOf(PriorityClass::Background, true)].size
        - m_lanes[laneOf(PriorityClass::Background, false)].size;
}

std::size_t AdmissionQueue::laneOf(PriorityClass priority, bool innerCall)
{
    return 2 * static_cast<std::size_t>(priority) + (innerCall ? 0 : 1);
}

std::size_t AdmissionQueue::flowOf(Lane &lane, const WorkspaceName &workspace)
{
    const auto [position, inserted] = lane.flowOf.try_emplace(workspace, lane.flows.size());
    if (inserted) {
        lane.flows.emplace_back();
        lane.flows.back().weight = weightOf(workspace);
    }
    return position->second;
}

int AdmissionQueue::weightOf(const WorkspaceName &workspace) const
{
    const auto found = m_weights.find(workspace);
    return found == m_weights.end() ? 1 : std::max(1, found->second);
}

void AdmissionQueue::insert(RequestList &&single)
{
    QueuedRequest &entry = single.front();
    const auto priority = entry.promoted ? static_cast<PriorityClass>(static_cast<int>(entry.request.priority) - 1)
                                         : entry.request.priority;
    const std::size_t laneIndex = laneOf(priority, entry.request.innerCall);
    Lane &lane = m_lanes[laneIndex];
    const std::size_t flowIndex = flowOf(lane, entry.request.workspace);
    Flow &flow = lane.flows[flowIndex];

    m_expiries.emplace(entry.expires, entry.ticket.value);
    if (entry.promoteAt) {
        m_promotions.emplace(*entry.promoteAt, entry.ticket.value);
    }
    const bool inserted = m_positions.emplace(entry.ticket, Position{laneIndex, flowIndex, single.begin()}).second;
    VT_INVARIANT(inserted, "a ticket is queued at most once");
    lane.byWeightedSize.erase({flow.weightedSize(), flowIndex});
    RequestList &list = entry.promoted ? flow.promoted : flow.notPromoted;
    list.splice(list.end(), single);
    lane.byWeightedSize.emplace(flow.weightedSize(), flowIndex);
    ++lane.size;
    if (!flow.active) {
        flow.active = true;
        lane.activeFlows.push_back(flowIndex);
    }
}

AdmissionQueue::RequestList AdmissionQueue::extract(TicketId ticket)
{
    RequestList single;
    const auto found = m_positions.find(ticket);
    if (found == m_positions.end()) {
        return single;
    }
    const Position position = found->second;
    m_positions.erase(found);
    Lane &lane = m_lanes[position.lane];
    Flow &flow = lane.flows[position.flow];
    const QueuedRequest &entry = *position.request;
    m_expiries.erase({entry.expires, ticket.value});
    if (entry.promoteAt) {
        m_promotions.erase({*entry.promoteAt, ticket.value});
    }
    lane.byWeightedSize.erase({flow.weightedSize(), position.flow});
    RequestList &list = entry.promoted ? flow.promoted : flow.notPromoted;
    single.splice(single.end(), list, position.request);
    if (flow.size() > 0) {
        lane.byWeightedSize.emplace(flow.weightedSize(), position.flow);
    }
    --lane.size;
    VT_INVARIANT(lane.size >= 0, "the size of a lane is not negative");
    return single;
}

std::optional<QueuedRequest>
AdmissionQueue::popFromLane(Lane &lane, TimePoint now, Duration minServiceTime, std::vector<QueuedRequest> &infeasible)
{
    while (!lane.activeFlows.empty()) {
        const std::size_t index = lane.activeFlows.front();
        Flow &flow = lane.flows[index];
        if (flow.size() == 0) {
            flow.deficit = 0;
            flow.active = false;
            lane.activeFlows.pop_front();
            continue;
        }
        if (flow.deficit == 0) {
            flow.deficit = flow.weight;
        }
        std::optional<QueuedRequest> popped = remove(nextOf(flow, isLifo(lane, now)));
        if (now + minServiceTime > popped->request.deadline) {
            switchToLifo(*popped, now);
            infeasible.push_back(std::move(*popped));
            continue;
        }
        if (--flow.deficit == 0) {
            lane.activeFlows.pop_front();
            lane.activeFlows.push_back(index);
        }
        return popped;
    }
    VT_INVARIANT(lane.size == 0, "a lane without active flows is empty");
    return std::nullopt;
}

TicketId AdmissionQueue::nextOf(Flow &flow, bool lifo)
{
    // Alternates between promoted and other requests, so that neither starves the other.
    flow.promotedServedLast = !flow.promoted.empty() && (flow.notPromoted.empty() || !flow.promotedServedLast);
    if (flow.promotedServedLast) {
        return flow.promoted.front().ticket;
    }
    return lifo ? flow.notPromoted.back().ticket : flow.notPromoted.front().ticket;
}

TicketId AdmissionQueue::victimOf(const Flow &flow, bool lifo)
{
    const RequestList &list = flow.notPromoted.empty() ? flow.promoted : flow.notPromoted;
    return lifo ? list.front().ticket : list.back().ticket;
}

bool AdmissionQueue::isLifo(const Lane &lane, TimePoint now)
{
    return now < lane.lifoUntil;
}

void AdmissionQueue::switchToLifo(const QueuedRequest &request, TimePoint now)
{
    // Deferrable requests must complete eventually, so their lanes stay in FIFO order.
    if (request.request.priority != PriorityClass::Deferrable) {
        m_lanes[laneOf(request.request.priority, request.request.innerCall)].lifoUntil = now + LifoPeriod;
    }
}

} // namespace vanillatack
