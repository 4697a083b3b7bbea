#pragma once

#include "documents/idocuments.h"
#include "store/itableservice.h"

#include <string>
#include <string_view>

namespace vanillatack {

// Table rows and objects of the documents:
//   documents/KIND/pointer            the version in force
//   documents/KIND/history/NUMBER     one row per version; NUMBER decreases with the version, so that a scan returns
//                                     the newest version first
//   withdrawn/KEYID                   one row per withdrawn key
//   withdrawals                       change marker, rewritten with every write of withdrawn keys, so that readers
//                                     scan withdrawn/ only after a change
//   object documents/KIND/VERSION-DIGEST

inline constexpr std::string_view WithdrawnPrefix = "withdrawn/";
inline constexpr std::string_view WithdrawalMarkerKey = "withdrawals";

std::string pointerKey(DocumentKind kind);
std::string historyPrefix(DocumentKind kind);
std::string historyKey(DocumentKind kind, std::uint64_t version);
std::string documentObjectName(DocumentKind kind, std::uint64_t version, const std::string &digest);
std::string withdrawnRowKey(const KeyId &key);

/// Value of pointer rows and history rows.
struct PointerRecord {
    DocumentHistoryEntry entry;
    std::string attempt; ///< Random id of the apply() that wrote the row.
};

std::string formatPointer(const PointerRecord &record);

/// Parses a pointer row or a history row. Errors: InvalidMessage.
Result<PointerRecord> parsePointer(const TableRow &row);

std::string formatWithdrawal(const WithdrawnKey &withdrawn);

/// Errors: InvalidMessage.
Result<WithdrawnKey> parseWithdrawal(const TableRow &row);

} // namespace vanillatack
