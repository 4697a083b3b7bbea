#include "membership/internal/zonetable.h"

#include "base/invariant.h"

#include <algorithm>

namespace vanillatack {

namespace {

constexpr std::size_t MaxHistory = 64;

void pushVersion(ZoneRecord &record, std::uint64_t version)
{
    VT_INVARIANT(version > record.version, "The version of a digest did not increase.");
    record.version = version;
    record.history.push_back(version);
    if (record.history.size() > MaxHistory) {
        record.history.pop_front();
    }
}

bool isRemoval(const ServiceSummary &summary)
{
    return summary.healthyInstances == 0 && summary.contacts.empty();
}

void setService(ZoneRecord &record,
                const ServiceName &service,
                const ServiceSummary *summary,
                std::uint64_t version,
                std::set<ServiceName> &changed)
{
    const auto known = record.content.services.find(service);
    const bool same =
        known == record.content.services.end() ? summary == nullptr : summary != nullptr && known->second == *summary;
    if (same) {
        return;
    }
    if (summary) {
        record.content.services[service] = *summary;
    } else {
        record.content.services.erase(known);
    }
    record.servicesChangedIn[service] = version;
    changed.insert(service);
}

void applyFull(ZoneRecord &record, const ZoneContent &content, std::uint64_t version, std::set<ServiceName> &changed)
{
    std::set<ServiceName> names;
    for (const ZoneContent *side : {static_cast<const ZoneContent *>(&record.content), &content}) {
        for (const auto &[service, summary] : side->services) {
            names.insert(service);
        }
    }
    for (const ServiceName &service : names) {
        const auto found = content.services.find(service);
        setService(record, service, found == content.services.end() ? nullptr : &found->second, version, changed);
    }
    if (record.content.relays != content.relays) {
        record.content.relays = content.relays;
        record.relaysChangedIn = version;
    }
    if (record.content.shareOwners != content.shareOwners) {
        record.content.shareOwners = content.shareOwners;
        record.ownersChangedIn = version;
    }
}

} // namespace

DigestForm formOf(const ZoneDigest &digest)
{
    if (digest.baseVersion > 0) {
        return DigestForm::Delta;
    }
    return digest.relays.empty() ? DigestForm::Heartbeat : DigestForm::Full;
}

ZoneRecord *ZoneTable::find(const ZoneName &zone)
{
    const auto found = m_records.find(zone);
    return found == m_records.end() ? nullptr : &found->second;
}

const ZoneRecord *ZoneTable::find(const ZoneName &zone) const
{
    const auto found = m_records.find(zone);
    return found == m_records.end() ? nullptr : &found->second;
}

ZoneRecord *ZoneTable::obtain(const ZoneName &zone)
{
    if (zone.empty() || (!m_records.contains(zone) && m_records.size() >= MaxZones)) {
        return nullptr;
    }
    ZoneRecord &record = m_records[zone];
    record.zone = zone;
    return &record;
}

ContentResult ZoneTable::applyContent(ZoneRecord &record, const ZoneDigest &digest, std::set<ServiceName> &changed)
{
    if (digest.version <= record.version) {
        return ContentResult::UpToDate;
    }
    switch (formOf(digest)) {
    case DigestForm::Heartbeat:
        return ContentResult::RequestNeeded;
    case DigestForm::Full: {
        ZoneContent content{{}, digest.relays, digest.shareOwners};
        for (const ServiceSummary &summary : digest.services) {
            content.services[summary.service] = summary;
        }
        applyFull(record, content, digest.version, changed);
        // A full digest may skip versions, so the changes since earlier versions are unknown.
        record.history.clear();
        break;
    }
    case DigestForm::Delta:
        // A delta applies only to a record with exactly the content of its base version.
        if (digest.baseVersion != record.version) {
            return ContentResult::RequestNeeded;
        }
        for (const ServiceSummary &summary : digest.services) {
            setService(record, summary.service, isRemoval(summary) ? nullptr : &summary, digest.version, changed);
        }
        if (!digest.relays.empty()) {
            record.content.relays = digest.relays;
            record.relaysChangedIn = digest.version;
        }
        if (!digest.shareOwners.empty()) {
            record.content.shareOwners = digest.shareOwners;
            record.ownersChangedIn = digest.version;
        }
        break;
    }
    pushVersion(record, digest.version);
    return ContentResult::Applied;
}

void ZoneTable::replaceContent(ZoneRecord &record,
                               const ZoneContent &content,
                               std::uint64_t version,
                               std::set<ServiceName> &changed)
{
    applyFull(record, content, version, changed);
    pushVersion(record, version);
}

bool ZoneTable::applyHeartbeat(ZoneRecord &record, const ZoneDigest &digest, TimePoint now)
{
    if (digest.heartbeat <= record.heartbeat) {
        return false;
    }
    record.heartbeat = digest.heartbeat;
    record.versions = digest.versions;
    record.nodes = digest.nodes;
    record.heartbeatReceivedAt = now;
    return true;
}

ZoneDigest ZoneTable::heartbeatOf(const ZoneRecord &record, const NodeName &sender)
{
    ZoneDigest digest;
    digest.sender = sender;
    digest.zone = record.zone;
    digest.version = record.version;
    digest.versions = record.versions;
    digest.nodes = record.nodes;
    digest.heartbeat = record.heartbeat;
    return digest;
}

ZoneDigest ZoneTable::contentSince(const ZoneRecord &record, std::uint64_t baseVersion, const NodeName &sender)
{
    ZoneDigest digest = heartbeatOf(record, sender);
    const bool baseKnown = std::find(record.history.begin(), record.history.end(), baseVersion) != record.history.end();
    const bool ownersRemoved = record.content.shareOwners.empty() && record.ownersChangedIn > baseVersion;
    if (!baseKnown || ownersRemoved) {
        digest.relays = record.content.relays;
        digest.shareOwners = record.content.shareOwners;
        for (const auto &[service, summary] : record.content.services) {
            digest.services.push_back(summary);
        }
        return digest;
    }
    digest.baseVersion = baseVersion;
    for (const auto &[service, version] : record.servicesChangedIn) {
        if (version > baseVersion) {
            const auto found = record.content.services.find(service);
            digest.services.push_back(found == record.content.services.end() ? ServiceSummary{service, 0, {}}
                                                                             : found->second);
        }
    }
    if (record.relaysChangedIn > baseVersion) {
        digest.relays = record.content.relays;
    }
    if (record.ownersChangedIn > baseVersion) {
        digest.shareOwners = record.content.shareOwners;
    }
    return digest;
}

} // namespace vanillatack
