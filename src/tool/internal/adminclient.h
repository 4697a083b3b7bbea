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

/// Client of the admin ports of one or more nodes, which it tries in the given order.
class AdminClient
{
public:
    AdminClient(std::vector<Endpoint> nodes, std::string credential);

    /// Sends a read to each node in turn until one responds. Errors: those of the node; Unavailable if no node
    /// responds; Internal if the response cannot be parsed.
    template<class T>
    [[nodiscard]] Result<T> read(const std::string &path) const
    {
        const Result<std::string> text = getBody(path);
        Result<T> result = parse<T>(text);
        if (text && !result) {
            return makeError(ErrorKind::Internal, result.error().message, result.error().remedy);
        }
        return result;
    }

    /// Sends a change to the first node that can be reached. The change is never retried once any part of it may have
    /// been sent: a missing or invalid response results in OutcomeUnknown.
    template<class T, class Change>
    [[nodiscard]] Result<T> change(const std::string &path, const Change &change) const
    {
        const Result<std::string> text = postChange(path, formatAdminValue(change));
        Result<T> result = parse<T>(text);
        if (text && !result) {
            return makeError(
                ErrorKind::OutcomeUnknown, result.error().message, "Check the state before you retry the change.");
        }
        return result;
    }

    [[nodiscard]] const std::vector<Endpoint> &nodes() const
    {
        return m_nodes;
    }

    /// Returns a client for the given node only, with the same credential.
    [[nodiscard]] AdminClient forNode(const Endpoint &node) const
    {
        return AdminClient({node}, m_credential);
    }

private:
    template<class T>
    static Result<T> parse(const Result<std::string> &text)
    {
        return text ? parseAdminValue<T>(text.value()) : Result<T>(text.error());
    }

    [[nodiscard]] Result<std::string> getBody(const std::string &path) const;
    [[nodiscard]] Result<std::string> postChange(const std::string &path, const std::string &body) const;
    [[nodiscard]] Error unreachableError(const std::string &causes) const;

    std::vector<Endpoint> m_nodes;
    std::string m_credential;
};

} // namespace vanillatack
