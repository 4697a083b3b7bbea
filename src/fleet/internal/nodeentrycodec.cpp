#include "fleet/nodeentrycodec.h"

#include "model/endpoint.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <stdexcept>

namespace vanillatack {

namespace {

/// Reads an integer of at least the given minimum that fits into the type. Rejects everything that get() would convert.
template<class Integer>
Integer integer(const nlohmann::json &json, const char *name, std::uint64_t minimum)
{
    const nlohmann::json &value = json.at(name);
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() < minimum
        || value.get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<Integer>::max())) {
        throw std::out_of_range(std::string(name) + " is not an integer in its range");
    }
    return value.get<Integer>();
}

} // namespace

std::string formatNodeEntry(const NodeEntry &entry)
{
    nlohmann::json json{
        {"node", entry.node.value},
        {"zone", entry.zone.value},
        {"address", entry.peerEndpoint.address},
        {"port", entry.peerEndpoint.port},
        {"service", entry.service.value},
        {"started_at_ms", entry.nodeStartedAtMs},
        {"instance", entry.instance},
        {"slots", entry.slots},
        {"accepting", entry.accepting},
        {"leaving", entry.leaving},
    };
    for (const Departure &departure : entry.departures) {
        json["departures"].push_back({{"instance", departure.instance}, {"started_at_ms", departure.startedAtMs}});
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace); // Does not throw for other than UTF-8.
}

Result<NodeEntry> parseNodeEntry(const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        NodeEntry entry;
        entry.node.value = json.at("node").get<std::string>();
        entry.zone.value = json.at("zone").get<std::string>();
        entry.peerEndpoint.address = json.at("address").get<std::string>();
        if (!isIpv4Address(entry.peerEndpoint.address)) {
            throw std::invalid_argument("address is not an IPv4 address");
        }
        entry.peerEndpoint.port = integer<std::uint16_t>(json, "port", 1);
        entry.service.value = json.at("service").get<std::string>();
        entry.nodeStartedAtMs = integer<std::uint64_t>(json, "started_at_ms", 0);
        entry.instance = json.at("instance").get<std::string>();
        entry.slots = integer<int>(json, "slots", 0);
        entry.accepting = json.at("accepting").get<bool>();
        entry.leaving = json.at("leaving").get<bool>();
        // Rows of earlier versions have none.
        for (const nlohmann::json &departure : json.value("departures", nlohmann::json::array())) {
            entry.departures.push_back({.instance = departure.at("instance").get<std::string>(),
                                        .startedAtMs = integer<std::uint64_t>(departure, "started_at_ms", 0)});
        }
        if (entry.departures.size() > MaxDepartures) {
            throw std::out_of_range("departures has too many entries");
        }
        return entry;
    } catch (const std::exception &exception) {
        return makeError(ErrorKind::InvalidMessage,
                         std::string("A row of the node registry cannot be parsed: ") + exception.what() + ".",
                         "Check that all nodes run compatible versions and that nothing else writes the table.");
    }
}

} // namespace vanillatack
