#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <utility>

namespace vanillatack {

/// Strongly typed name: names of different kinds do not convert to each other. Ordered and hashable.
template<class Tag>
struct Name {
    std::string value;

    Name() = default;
    explicit Name(std::string text)
        : value(std::move(text))
    {
    }

    [[nodiscard]] bool empty() const
    {
        return value.empty();
    }

    // clang-tidy 14 mistakes the literal 0 in the generated comparison for a null pointer.
    auto operator<=>(const Name &) const = default; // NOLINT(modernize-use-nullptr)

    template<class H>
    friend H AbslHashValue(H state, const Name &name)
    {
        return H::combine(std::move(state), name.value);
    }
};

using ZoneName = Name<struct ZoneTag>;
using ServiceName = Name<struct ServiceTag>;
using WorkspaceName = Name<struct WorkspaceTag>;
using RouteName = Name<struct RouteTag>;

/// Name of a node from its settings, unique in the fleet. The node on a replaced VM keeps the name and gets a new
/// incarnation.
using NodeName = Name<struct NodeTag>;

/// Public identifier of an API key; unlike the key itself, it may be logged.
using KeyId = Name<struct KeyTag>;

/// Strongly typed numeric id: ids of different kinds do not convert to each other. Zero means none.
template<class Tag>
struct NumericId {
    std::uint64_t value = 0;

    auto operator<=>(const NumericId &) const = default; // NOLINT(modernize-use-nullptr)

    template<class H>
    friend H AbslHashValue(H state, const NumericId &id)
    {
        return H::combine(std::move(state), id.value);
    }
};

/// Identifies a request while a node handles it. Other nodes know it by RequestContext::rootId.
using RequestId = NumericId<struct RequestTag>;
/// Identifies an outgoing call of a request within the node. The link numbers its calls itself (OutgoingCallId).
using CallId = NumericId<struct CallTag>;
/// Identifies a request that is queued for admission or running at the upstream.
using TicketId = NumericId<struct TicketTag>;
/// Identifies a quota loan; unique per lender incarnation.
using LoanId = NumericId<struct LoanTag>;

/// IPv4 address in dotted form and TCP or UDP port.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const
    {
        return address + ":" + std::to_string(port);
    }

    auto operator<=>(const Endpoint &) const = default; // NOLINT(modernize-use-nullptr): as above

    template<class H>
    friend H AbslHashValue(H state, const Endpoint &endpoint)
    {
        return H::combine(std::move(state), endpoint.address, endpoint.port);
    }
};

} // namespace vanillatack
