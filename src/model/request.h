#pragma once

#include "base/clock.h"
#include "base/nametable.h"
#include "model/ids.h"

#include <string>
#include <utility>
#include <vector>

namespace vanillatack {

/// Priority of a request, most important first; the first class is shed last.
enum class PriorityClass {
    Critical,
    Interactive,
    Deferrable,
    Background,
};

inline constexpr int PriorityClassCount = 4;

inline constexpr auto PriorityClassNames = makeNameTable<PriorityClass, 4>({
    {PriorityClass::Critical, "critical"},
    {PriorityClass::Interactive, "interactive"},
    {PriorityClass::Deferrable, "deferrable"},
    {PriorityClass::Background, "background"},
});

/// Whether the upstream may have run a refused or failed request.
enum class RunState {
    NotRun, ///< No byte of the request can have reached the upstream.
    Unknown, ///< The upstream may have run it.
    Ran, ///< The upstream answered.
};

inline constexpr auto RunStateNames = makeNameTable<RunState, 3>({
    {RunState::NotRun, "not-run"},
    {RunState::Unknown, "unknown"},
    {RunState::Ran, "ran"},
});

/// Reason why a request was refused. The names are shown to callers and operators and must not change.
enum class RefusalKind {
    None,
    MalformedRequest,
    UnknownRoute,
    MissingKey,
    UnknownKey,
    WithdrawnKey,
    InvalidRequestToken,
    RateExceeded,
    Overloaded, ///< Refused by a node, because the service is overloaded.
    UpstreamOverloaded, ///< The upstream answered that it is overloaded and did not run the request.
    DeadlineExceeded,
    NoInstance, ///< No instance of the service is available.
    Draining, ///< The node accepts no new requests.
    NotReady, ///< The node is not ready, or its upstream does not serve the requested service.
    ZoneCutOff, ///< The node's list of keys may be outdated, because its zone is cut off from all others.
    StoreUnavailable, ///< The idempotency key could not be claimed in the store.
    DuplicateInProgress,
    OutcomeUnknown,
    IdempotencyMismatch,
    UpstreamFailed, ///< The connection to the upstream or to its node failed.
    BadUpstreamReply, ///< The upstream received at least part of the request but sent no valid response.
    Cancelled,
    HeadersTooLarge,
    BodyTooLarge,
    RateOwnerSilent,
};

inline constexpr auto RefusalKindNames = makeNameTable<RefusalKind, 25>({
    {RefusalKind::None, "none"},
    {RefusalKind::MalformedRequest, "malformed-request"},
    {RefusalKind::UnknownRoute, "unknown-route"},
    {RefusalKind::MissingKey, "missing-key"},
    {RefusalKind::UnknownKey, "unknown-key"},
    {RefusalKind::WithdrawnKey, "withdrawn-key"},
    {RefusalKind::InvalidRequestToken, "invalid-request-token"},
    {RefusalKind::RateExceeded, "rate-exceeded"},
    {RefusalKind::Overloaded, "overloaded"},
    {RefusalKind::UpstreamOverloaded, "upstream-overloaded"},
    {RefusalKind::DeadlineExceeded, "deadline-exceeded"},
    {RefusalKind::NoInstance, "no-instance"},
    {RefusalKind::Draining, "draining"},
    {RefusalKind::NotReady, "not-ready"},
    {RefusalKind::ZoneCutOff, "zone-cut-off"},
    {RefusalKind::StoreUnavailable, "store-unavailable"},
    {RefusalKind::DuplicateInProgress, "duplicate-in-progress"},
    {RefusalKind::OutcomeUnknown, "outcome-unknown"},
    {RefusalKind::IdempotencyMismatch, "idempotency-mismatch"},
    {RefusalKind::UpstreamFailed, "upstream-failed"},
    {RefusalKind::BadUpstreamReply, "bad-upstream-reply"},
    {RefusalKind::Cancelled, "cancelled"},
    {RefusalKind::HeadersTooLarge, "headers-too-large"},
    {RefusalKind::BodyTooLarge, "body-too-large"},
    {RefusalKind::RateOwnerSilent, "rate-owner-silent"},
});

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Context that nodes forward with a request in place of the caller's key.
struct RequestContext {
    std::string rootId; ///< Id of the root request, for logs and for the lookup of refusals.
    WorkspaceName workspace; ///< Empty on open routes.
    RouteName rootRoute; ///< Route of the root request; its class and deadline apply to all inner calls.
    PriorityClass priority = PriorityClass::Interactive;
    int depth = 0; ///< 0 for the root request; increases by 1 at each hop.
    TimePoint deadline; ///< In the monotonic time of the local node.
};

/// Lowest priority class that a service currently admits, for early refusal at the egress node.
struct ServiceLevel {
    ServiceName service;
    PriorityClass lowestAdmitted = PriorityClass::Background;
    /// Admitted share of the requests of the lowest admitted class, in thousandths.
    int admittedPermille = 1000;

    bool operator==(const ServiceLevel &) const = default;
};

/// Maximum depth of calls below the root request. Deeper calls are refused as malformed, which stops call loops.
inline constexpr int MaxCallDepth = 32;

} // namespace vanillatack
