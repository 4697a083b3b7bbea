#pragma once

#include "base/nametable.h"

#include <boost/outcome.hpp>

#include <string>
#include <utility>

namespace vanillatack {

/// Category of an error, independent of the message text.
enum class ErrorKind {
    InvalidSetting,
    InvalidConfiguration,
    InvalidMessage,
    InvalidArgument,
    NotFound,
    Conflict, ///< The current state differs from the expected one; the operation had no effect.
    Unavailable, ///< The operation was not carried out and had no effect.
    Timeout, ///< No response in time, in general to a read.
    OutcomeUnknown, ///< No usable response to a change, which may or may not have taken effect.
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

/// Error with a suggested remedy.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string message; ///< One sentence that describes the problem.
    std::string remedy; ///< One sentence that says how to resolve it; can be empty.

    /// Message and remedy on one line.
    [[nodiscard]] std::string text() const
    {
        return remedy.empty() ? message : message + " " + remedy;
    }

    bool operator==(const Error &) const = default;
};

/// A value or an Error. Accessing the alternative that is not set terminates the process.
template<class T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// Makes an Error to return from a function that returns a Result.
inline Error makeError(ErrorKind kind, std::string message, std::string remedy = {})
{
    return Error{kind, std::move(message), std::move(remedy)};
}

/// Success value of Result<void>.
inline auto success()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace vanillatack
