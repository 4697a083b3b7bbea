#pragma once

#include "store/itableservice.h"

#include <string>
#include <string_view>
#include <vector>

namespace vanillatack {

// JSON messages of the protocol between the HTTP client and the platform; see docs/platform-protocol.md. Row values are
// Base64-encoded because they are arbitrary bytes; keys and object names are UTF-8. Decoders return InvalidMessage.

inline constexpr std::string_view RowPath = "/v1/row";
inline constexpr std::string_view ReadManyPath = "/v1/rows";
inline constexpr std::string_view ScanPath = "/v1/scan";
inline constexpr std::string_view TransactionPath = "/v1/transactions";
inline constexpr std::string_view ObjectPath = "/v1/objects/";

std::string encodeRow(const TableRow &row);
Result<TableRow> decodeRow(std::string_view text);

std::string encodeRows(const std::vector<TableRow> &rows);
Result<std::vector<TableRow>> decodeRows(std::string_view text);

/// Errors: InvalidArgument if a key is not UTF-8.
Result<std::string> encodeKeys(const std::vector<std::string> &keys);
Result<std::vector<std::string>> decodeKeys(std::string_view text);

/// Errors: InvalidArgument if a key is not UTF-8.
Result<std::string> encodeWrites(const std::vector<TableWrite> &writes);
Result<std::vector<TableWrite>> decodeWrites(std::string_view text);

std::string encodeCommit(const TableCommit &commit);
Result<TableCommit> decodeCommit(std::string_view text);

/// Percent-encodes all bytes except ASCII letters, digits, "-", ".", "_", "~" and "/".
std::string percentEncode(std::string_view text);

} // namespace vanillatack
