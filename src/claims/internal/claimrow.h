#pragma once

#include "claims/iclaims.h"

#include <cstdint>
#include <optional>
#include <string>

namespace vanillatack {

/// State of the operation. A row is never deleted to release its claim: versions of a new row start at 1 again, so a
/// delayed write meant for the old row would pass its version check.
enum class ClaimState {
    Running, ///< Claimed; the operation may be running, or its outcome is unknown.
    Answered, ///< The operation ran and its answer is in the row.
    Ran, ///< The operation ran, but its answer exceeded the size limits and was not stored.
    Released, ///< The operation did not run; another attempt may take over the row.
};

inline constexpr auto ClaimStateNames = makeNameTable<ClaimState, 4>({
    {ClaimState::Running, "running"},
    {ClaimState::Answered, "answered"},
    {ClaimState::Ran, "ran"},
    {ClaimState::Released, "released"},
});

/// Stored value of a claim's row.
struct ClaimRow {
    std::string attempt; ///< Id of the attempt that wrote the row.
    std::string digest; ///< Digest of the request.
    ClaimState state = ClaimState::Running;
    std::int64_t expiresAtMs = 0; ///< Wall-clock time, in ms since the epoch.
    StoredAnswer answer; ///< Set for state Answered.
};

/// Returns the row key: "claim/" and a SHA-256, so that the caller's idempotency key is not stored.
std::string claimRowKey(const ClaimKey &key);

/// Encodes the row as JSON. Headers and body are Base64, since they may contain any bytes.
std::string encodeClaimRow(const ClaimRow &row);

/// Returns nullopt for text that encodeClaimRow() cannot have produced.
std::optional<ClaimRow> decodeClaimRow(const std::string &text);

} // namespace vanillatack
