#include "burn/burncollection.h"

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace vanillatack {

namespace {

using nlohmann::json;

constexpr int FormatVersion = 1;
constexpr int HourMinutes = 60;
constexpr std::int64_t MinuteResolutionMinutes = std::int64_t{6} * HourMinutes;

void mergeMaximum(BurnCounts &counts, const BurnCounts &other)
{
    counts.good = std::max(counts.good, other.good);
    counts.bad = std::max(counts.bad, other.bad);
    for (const auto &[kind, count] : other.refusals) {
        std::uint64_t &own = counts.refusals[kind];
        own = std::max(own, count);
    }
}

std::int64_t hourStart(std::int64_t minute)
{
    return minute - minute % HourMinutes;
}

BurnKey hourKey(const BurnKey &key)
{
    return {hourStart(key.minute), key.route, key.workspace, HourMinutes};
}

// Hour buckets of a source whose count exceeds the sum of the source's available minute buckets of that hour.
std::set<BurnKey> preferredHours(const std::map<BurnKey, BurnCounts> &counts)
{
    std::map<BurnKey, std::uint64_t> minuteSums;
    for (const auto &[key, value] : counts) {
        if (key.spanMinutes != HourMinutes) {
            minuteSums[hourKey(key)] += value.good + value.bad;
        }
    }
    std::set<BurnKey> hours;
    for (const auto &[key, value] : counts) {
        if (key.spanMinutes == HourMinutes && value.good + value.bad > minuteSums[key]) {
            hours.insert(key);
        }
    }
    return hours;
}

// Dictionary encoding of names, so that each name is written once.
template<class Id>
class NameDictionary
{
public:
    std::size_t indexOf(const Id &name)
    {
        const auto [entry, added] = m_index.try_emplace(name, m_names.size());
        if (added) {
            m_names.push_back(name.value);
        }
        return entry->second;
    }

    [[nodiscard]] const json &names() const
    {
        return m_names;
    }

private:
    std::map<Id, std::size_t> m_index;
    json m_names = json::array();
};

std::uint64_t parseCount(const json &value)
{
    // get() would convert a negative number to a huge one.
    if (!value.is_number_unsigned()) {
        throw json::other_error::create(501, "a count is not a non-negative integer", &value);
    }
    return value.get<std::uint64_t>();
}

BurnBucket parseBucket(const json &row, const json &routes, const json &workspaces)
{
    BurnBucket bucket;
    bucket.minute = static_cast<std::int64_t>(parseCount(row.at(0)));
    bucket.route = RouteName(routes.at(parseCount(row.at(1))).get<std::string>());
    bucket.workspace = WorkspaceName(workspaces.at(parseCount(row.at(2))).get<std::string>());
    bucket.good = parseCount(row.at(3));
    bucket.bad = parseCount(row.at(4));
    if (row.size() > 5) {
        for (const auto &[name, count] : row.at(5).get_ref<const json::object_t &>()) {
            bucket.refusals[RefusalKindNames.value(name).value_or(RefusalKind::None)] += parseCount(count);
        }
    }
    return bucket;
}

BurnCollection parseCollection(const json &document)
{
    if (document.at("format") != FormatVersion) {
        throw json::other_error::create(501, "unknown format version", &document);
    }
    BurnCollection collection;
    for (const json &item : document.at("sources")) {
        const BurnSource source{ZoneName(item.at("zone").get<std::string>()),
                                NodeName(item.at("node").get<std::string>()),
                                parseCount(item.at("start"))};
        for (const auto &[list, span] : {std::pair("minutes", 1), std::pair("hours", HourMinutes)}) {
            for (const json &row : item.at(list)) {
                BurnBucket bucket = parseBucket(row, document.at("routes"), document.at("workspaces"));
                bucket.spanMinutes = span;
                collection.add(source, bucket);
            }
        }
    }
    return collection;
}

} // namespace

void BurnCollection::add(const BurnSource &source, const BurnBucket &bucket)
{
    const BurnKey key{bucket.minute, bucket.route, bucket.workspace, bucket.spanMinutes};
    mergeMaximum(m_sources[source][key], {bucket.good, bucket.bad, bucket.refusals});
}

void BurnCollection::add(const BurnSource &source, const std::vector<BurnBucket> &buckets)
{
    for (const BurnBucket &bucket : buckets) {
        add(source, bucket);
    }
}

void BurnCollection::merge(const BurnCollection &other)
{
    for (const auto &[source, counts] : other.m_sources) {
        auto &own = m_sources[source];
        for (const auto &[key, value] : counts) {
            mergeMaximum(own[key], value);
        }
    }
}

void BurnCollection::removeBefore(std::int64_t minute)
{
    for (auto &[source, counts] : m_sources) {
        counts.erase(counts.begin(), counts.lower_bound(BurnKey{minute, {}, {}, 0}));
    }
    std::erase_if(m_sources, [](const auto &entry) {
        return entry.second.empty();
    });
}

std::vector<BurnBucket> BurnCollection::totals() const
{
    std::map<BurnKey, BurnCounts> sums;
    for (const auto &[source, counts] : m_sources) {
        const std::set<BurnKey> hours = preferredHours(counts);
        for (const auto &[key, value] : counts) {
            if (hours.contains(hourKey(key)) != (key.spanMinutes == HourMinutes)) {
                continue;
            }
            BurnCounts &sum = sums[key];
            sum.good += value.good;
            sum.bad += value.bad;
            for (const auto &[kind, count] : value.refusals) {
                sum.refusals[kind] += count;
            }
        }
    }
    std::vector<BurnBucket> buckets;
    buckets.reserve(sums.size());
    for (auto &[key, sum] : sums) {
        buckets.push_back(
            {key.minute, key.route, key.workspace, sum.good, sum.bad, std::move(sum.refusals), key.spanMinutes});
    }
    return buckets;
}

std::int64_t minuteResolutionStart(std::int64_t nowMinute)
{
    return hourStart(nowMinute - MinuteResolutionMinutes);
}

std::vector<BurnBucket> sumHours(const std::vector<BurnBucket> &buckets, std::int64_t beforeMinute)
{
    std::map<BurnKey, BurnBucket> sums;
    std::vector<BurnBucket> result;
    for (const BurnBucket &bucket : buckets) {
        if (bucket.spanMinutes == HourMinutes || hourStart(bucket.minute) >= beforeMinute) {
            result.push_back(bucket);
            continue;
        }
        const BurnKey key = hourKey({bucket.minute, bucket.route, bucket.workspace, 1});
        BurnBucket &sum = sums[key];
        sum.minute = key.minute;
        sum.route = key.route;
        sum.workspace = key.workspace;
        sum.spanMinutes = HourMinutes;
        sum.good += bucket.good;
        sum.bad += bucket.bad;
        for (const auto &[kind, count] : bucket.refusals) {
            sum.refusals[kind] += count;
        }
    }
    for (auto &[key, sum] : sums) {
        result.push_back(std::move(sum));
    }
    return result;
}

std::string burnRowKey(const ZoneName &zone, std::int64_t minute)
{
    return absl::StrFormat("burn/%s/%08d", zone.value, minute / HourMinutes);
}

std::string formatBurnCollection(const BurnCollection &collection)
{
    NameDictionary<RouteName> routes;
    NameDictionary<WorkspaceName> workspaces;
    json sources = json::array();
    for (const auto &[source, counts] : collection.sources()) {
        json minutes = json::array();
        json hours = json::array();
        for (const auto &[key, value] : counts) {
            json row = {
                key.minute, routes.indexOf(key.route), workspaces.indexOf(key.workspace), value.good, value.bad};
            json refusals = json::object();
            for (const auto &[kind, count] : value.refusals) {
                refusals[std::string(RefusalKindNames.name(kind))] = count;
            }
            if (!refusals.empty()) {
                row.push_back(std::move(refusals));
            }
            (key.spanMinutes == HourMinutes ? hours : minutes).push_back(std::move(row));
        }
        sources.push_back({{"zone", source.zone.value},
                           {"node", source.node.value},
                           {"start", source.startIncarnation},
                           {"minutes", std::move(minutes)},
                           {"hours", std::move(hours)}});
    }
    const json document = {{"format", FormatVersion},
                           {"routes", routes.names()},
                           {"workspaces", workspaces.names()},
                           {"sources", std::move(sources)}};
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<BurnCollection> parseBurnCollection(std::string_view text)
{
    try {
        return parseCollection(json::parse(text));
    } catch (const json::exception &exception) {
        return makeError(ErrorKind::InvalidMessage,
                         std::string("The burn buckets cannot be read: ") + exception.what() + ".",
                         "Check that the node and the tool have the same version.");
    }
}

} // namespace vanillatack
