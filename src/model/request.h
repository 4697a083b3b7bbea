#pragma once

#include "base/clock.h"
#include "base/nametable.h"
#include "model/ids.h"

#include <string>
#include <utility>
#include <vector>

namespace vanillatack {

/// Importance of a request; the first value is shed last.
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

/// Whether the upstream can have run a refused or failed request.
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

/// Stable kinds of refusal, shown to callers and operators.
enum class RefusalKind {
    None,
    MalformedRequest,
    UnknownRoute,
    MissingKey,
    UnknownKey,
    WithdrawnKey,
    InvalidRequestToken,
    RateExceeded,
    Overloaded,
    UpstreamOverloaded,
    DeadlineExceeded,
    NoInstance,
    Draining,
    NotReady,
    ZoneCutOff,
    StoreUnavailable,
    DuplicateInProgress,
    OutcomeUnknown,
    IdempotencyMismatch,
    UpstreamFailed,
    BadUpstreamReply,
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

/// What travels with a request from node to node in place of the caller's key.
struct RequestContext {
    std::string rootId; ///< Id of the root request, for logs and for "why was it refused".
    WorkspaceName workspace; ///< Empty on open routes.
    RouteName rootRoute; ///< Route of the root request; its class and deadline apply to the whole chain.
    PriorityClass priority = PriorityClass::Interactive;
    int depth = 0; ///< 0 for the root request, counted up at each hop.
    TimePoint deadline; ///< On the clock of the node that holds the context.
};

/// Lowest class that a service admits now, for early refusal at the entry node.
struct ServiceLevel {
    ServiceName service;
    PriorityClass lowestAdmitted = PriorityClass::Background;
    /// Share of requests of the lowest admitted class that is admitted, 0 to 1000 thousandths.
    int admittedPermille = 1000;

    bool operator==(const ServiceLevel &) const = default;
};

/// Limit of hops below the root request. Deeper calls are refused as malformed, which stops call loops.
inline constexpr int MaxCallDepth = 32;

} // namespace vanillatack
