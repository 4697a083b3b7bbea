#pragma once

#include "claims/iclaims.h"

#include <cstdint>
#include <optional>
#include <string>

namespace vanillatack {

/// What is known of the operation. A row is never deleted to release it: versions of a new row start at 1 again, and
/// a late write of the old row would then pass its version check.
enum class ClaimState {
    Running, ///< Claimed; it may run, or its outcome is unknown.
    Answered, ///< The answer is in the row.
    Ran, ///< It ran, but the answer was too large to be stored.
    Released, ///< It did not run; another attempt may take the row over.
};

inline constexpr auto ClaimStateNames = makeNameTable<ClaimState, 4>({
    {ClaimState::Running, "running"},
    {ClaimState::Answered, "answered"},
    {ClaimState::Ran, "ran"},
    {ClaimState::Released, "released"},
});

/// Value of a claim's row.
struct ClaimRow {
    std::string attempt; ///< Id of the attempt that wrote it.
    std::string digest; ///< Of the request.
    ClaimState state = ClaimState::Running;
    std::int64_t expiresAtMs = 0; ///< Wall time.
    StoredAnswer answer; ///< When answered.
};

/// Key of the row: "claim/" and a SHA-256, so that the caller's idempotency key is not stored.
std::string claimRowKey(const ClaimKey &key);

/// JSON. Headers and body are Base64, since they can hold any bytes.
std::string encodeClaimRow(const ClaimRow &row);

/// Nullopt for anything that encodeClaimRow does not produce.
std::optional<ClaimRow> decodeClaimRow(const std::string &text);

} // namespace vanillatack
