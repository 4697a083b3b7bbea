#include "fleet/nodeentrycodec.h"

#include <nlohmann/json.hpp>

namespace vanillatack {

std::string formatNodeEntry(const NodeEntry &entry)
{
    return nlohmann::json{
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
    }
        .dump();
}

Result<NodeEntry> parseNodeEntry(const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        NodeEntry entry;
        entry.node.value = json.at("node").get<std::string>();
        entry.zone.value = json.at("zone").get<std::string>();
        entry.peerEndpoint.address = json.at("address").get<std::string>();
        entry.peerEndpoint.port = json.at("port").get<std::uint16_t>();
        entry.service.value = json.at("service").get<std::string>();
        entry.nodeStartedAtMs = json.at("started_at_ms").get<std::uint64_t>();
        entry.instance = json.at("instance").get<std::string>();
        entry.slots = json.at("slots").get<int>();
        entry.accepting = json.at("accepting").get<bool>();
        entry.leaving = json.at("leaving").get<bool>();
        return entry;
    } catch (const nlohmann::json::exception &exception) {
        return makeError(ErrorKind::InvalidMessage,
                         std::string("A row of the node registry cannot be parsed: ") + exception.what() + ".",
                         "Check that all nodes run compatible versions and that nothing else writes the table.");
    }
}

} // namespace vanillatack
