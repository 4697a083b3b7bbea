#pragma once

#include "documents/idocuments.h"
#include "store/itableservice.h"

#include <string>
#include <string_view>

namespace vanillatack {

// Rows and objects of the documents on the platform:
//   documents/KIND/pointer            the version in force
//   documents/KIND/history/NUMBER     one row per version; NUMBER falls so that a scan starts with the newest
//   withdrawn/KEYID                   one row per withdrawn key
//   withdrawals                       rewritten with every change below withdrawn/, so that readers need not scan
//   object documents/KIND/VERSION-DIGEST

inline constexpr std::string_view WithdrawnPrefix = "withdrawn/";
inline constexpr std::string_view WithdrawalMarkerKey = "withdrawals";

std::string pointerKey(DocumentKind kind);
std::string historyPrefix(DocumentKind kind);
std::string historyKey(DocumentKind kind, std::uint64_t version);
std::string documentObjectName(DocumentKind kind, std::uint64_t version, const std::string &digest);
std::string withdrawnRowKey(const KeyId &key);

/// Value of a pointer row and of a history row.
struct PointerRecord {
    DocumentHistoryEntry entry;
    std::string attempt; ///< Random id of the apply that wrote it.
};

std::string formatPointer(const PointerRecord &record);

/// Errors: InvalidMessage.
Result<PointerRecord> parsePointer(std::string_view value);

std::string formatWithdrawal(const WithdrawnKey &withdrawn);

/// Errors: InvalidMessage.
Result<WithdrawnKey> parseWithdrawal(const TableRow &row);

} // namespace vanillatack
