#pragma once

#include "admin/adminjson.h"
#include "base/error.h"
#include "model/ids.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillatack {

/// Parses "ADDRESS:PORT" with an IPv4 address. Errors: InvalidArgument.
Result<Endpoint> parseNodeAddress(const std::string &text);

/// Talks to the admin ports of nodes, in the given order.
class AdminClient
{
public:
    AdminClient(std::vector<Endpoint> nodes, std::string credential);

    /// Asks the nodes in turn until one answers. Errors: those of the node; Unavailable when none answers; Internal for
    /// an unreadable answer.
    template<class T>
    [[nodiscard]] Result<T> read(const std::string &path) const
    {
        const Result<std::string> text = readText(path);
        Result<T> result = parsed<T>(text);
        if (text && !result) {
            return makeError(ErrorKind::Internal, result.error().message, result.error().remedy);
        }
        return result;
    }

    /// Asks for a change at the first node that can be reached. Once a byte may have been sent, it is not sent again:
    /// a missing or unreadable answer gives OutcomeUnknown.
    template<class T, class Change>
    [[nodiscard]] Result<T> change(const std::string &path, const Change &change) const
    {
        const Result<std::string> text = changeText(path, formatAdminValue(change));
        Result<T> result = parsed<T>(text);
        if (text && !result) {
            return makeError(
                ErrorKind::OutcomeUnknown, result.error().message, "Look at the state before you repeat it.");
        }
        return result;
    }

    [[nodiscard]] const std::vector<Endpoint> &nodes() const
    {
        return m_nodes;
    }

    /// A client for one of the nodes alone.
    [[nodiscard]] AdminClient only(const Endpoint &node) const
    {
        return AdminClient({node}, m_credential);
    }

private:
    template<class T>
    static Result<T> parsed(const Result<std::string> &text)
    {
        return text ? parseAdminValue<T>(text.value()) : Result<T>(text.error());
    }

    [[nodiscard]] Result<std::string> readText(const std::string &path) const;
    [[nodiscard]] Result<std::string> changeText(const std::string &path, const std::string &body) const;
    [[nodiscard]] Error unreachable(const std::string &causes) const;

    std::vector<Endpoint> m_nodes;
    std::string m_credential;
};

} // namespace vanillatack
