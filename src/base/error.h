#pragma once

#include "base/nametable.h"

#include <boost/outcome.hpp>

#include <string>
#include <utility>

namespace vanillatack {

/// What went wrong, independent of the wording of the message.
enum class ErrorKind {
    InvalidSetting,
    InvalidConfiguration,
    InvalidMessage,
    InvalidArgument,
    NotFound,
    Conflict,
    Unavailable,
    Timeout,
    OutcomeUnknown,
    Unauthorized,
    LimitExceeded,
    Internal,
};

inline constexpr auto ErrorKindNames = makeNameTable<ErrorKind, 12>({
    {ErrorKind::InvalidSetting, "invalid-setting"},
    {ErrorKind::InvalidConfiguration, "invalid-configuration"},
    {ErrorKind::InvalidMessage, "invalid-message"},
    {ErrorKind::InvalidArgument, "invalid-argument"},
    {ErrorKind::NotFound, "not-found"},
    {ErrorKind::Conflict, "conflict"},
    {ErrorKind::Unavailable, "unavailable"},
    {ErrorKind::Timeout, "timeout"},
    {ErrorKind::OutcomeUnknown, "outcome-unknown"},
    {ErrorKind::Unauthorized, "unauthorized"},
    {ErrorKind::LimitExceeded, "limit-exceeded"},
    {ErrorKind::Internal, "internal"},
});

/// An error with the action that resolves it.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string message; ///< One sentence on what is wrong.
    std::string remedy; ///< One sentence on what to do about it.

    /// Message and remedy in one line.
    [[nodiscard]] std::string text() const
    {
        return remedy.empty() ? message : message + " " + remedy;
    }

    bool operator==(const Error &) const = default;
};

/// A value or an Error. Reading the side that is not there terminates the process.
template<class T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// Shorthand for returning an Error from a function that returns Result.
inline Error makeError(ErrorKind kind, std::string message, std::string remedy = {})
{
    return Error{kind, std::move(message), std::move(remedy)};
}

/// The success value of Result<void>.
inline auto success()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace vanillatack
