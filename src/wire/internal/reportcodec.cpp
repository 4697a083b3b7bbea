#include "wire/internal/reportcodec.h"

#include "wire/internal/callcodec.h"

#include <cmath>

namespace vanillatack::wire {

namespace {

/// Checks a load value. The values of all nodes are summed, so that a single NaN would invalidate every sum.
double toLoadValue(float value)
{
    if (!std::isfinite(value) || value < 0) {
        throw DecodeFailure("a load value is negative or not finite");
    }
    return value;
}

int toCount(std::int32_t value)
{
    if (value < 0) {
        throw DecodeFailure("a count is negative");
    }
    return value;
}

Duration toDuration(std::int64_t nanoseconds)
{
    if (nanoseconds < 0) {
        throw DecodeFailure("a duration is negative");
    }
    return Duration(nanoseconds);
}

} // namespace

void write(schema::NodeReport::Builder out, const NodeReport &in)
{
    out.setNode(in.node.value);
    out.setStartedAtMs(in.startedAtMs);
    out.setSequence(in.sequence);
    out.setService(in.service.value);
    out.setSlots(in.slots);
    out.setRunning(in.running);
    out.setQueued(in.queued);
    auto loads = out.initLoads(in.loads.size());
    for (unsigned index = 0; index < in.loads.size(); ++index) {
        loads[index].setRoute(in.loads[index].route.value);
        loads[index].setOfferedPerSecond(static_cast<float>(in.loads[index].offeredPerSecond));
        loads[index].setWorkSeconds(static_cast<float>(in.loads[index].workSeconds));
    }
    auto edges = out.initEdges(in.edges.size());
    for (unsigned index = 0; index < in.edges.size(); ++index) {
        edges[index].setCaller(in.edges[index].caller.value);
        edges[index].setCallee(in.edges[index].callee.value);
        edges[index].setCallsPerRequest(static_cast<float>(in.edges[index].callsPerRequest));
    }
    auto silent = out.initSilent(in.silent.size());
    for (unsigned index = 0; index < in.silent.size(); ++index) {
        silent.set(index, in.silent[index].value);
    }
    auto leaving = out.initLeaving(in.leaving.size());
    for (unsigned index = 0; index < in.leaving.size(); ++index) {
        leaving.set(index, in.leaving[index].value);
    }
    out.setRegisteredDigest(in.registeredDigest);
}

NodeReport readNodeReport(schema::NodeReport::Reader in)
{
    NodeReport out;
    out.node.value = toString(in.getNode());
    out.startedAtMs = in.getStartedAtMs();
    out.sequence = in.getSequence();
    out.service.value = toString(in.getService());
    out.slots = in.getSlots();
    out.running = in.getRunning();
    out.queued = in.getQueued();
    for (const auto load : in.getLoads()) {
        out.loads.push_back({RouteName(toString(load.getRoute())),
                             toLoadValue(load.getOfferedPerSecond()),
                             toLoadValue(load.getWorkSeconds())});
    }
    for (const auto edge : in.getEdges()) {
        out.edges.push_back({RouteName(toString(edge.getCaller())),
                             RouteName(toString(edge.getCallee())),
                             toLoadValue(edge.getCallsPerRequest())});
    }
    for (const auto node : in.getSilent()) {
        out.silent.emplace_back(toString(node));
    }
    for (const auto node : in.getLeaving()) {
        out.leaving.emplace_back(toString(node));
    }
    out.registeredDigest = in.getRegisteredDigest();
    return out;
}

void write(schema::ReportBundle::Builder out, const ReportBundle &in)
{
    out.setSpread(in.spread);
    auto reports = out.initReports(in.reports.size());
    for (unsigned index = 0; index < in.reports.size(); ++index) {
        write(reports[index], in.reports[index]);
    }
}

ReportBundle readReportBundle(schema::ReportBundle::Reader in)
{
    ReportBundle out;
    out.spread = in.getSpread();
    for (const auto report : in.getReports()) {
        out.reports.push_back(readNodeReport(report));
    }
    return out;
}

void write(schema::RateAsk::Builder out, const RateAsk &in)
{
    out.setAskId(in.askId);
    out.setAsker(in.asker.value);
    out.setWorkspace(in.workspace.value);
    out.setWanted(in.wanted);
    out.setReturned(in.returned);
}

RateAsk readRateAsk(schema::RateAsk::Reader in)
{
    return {.askId = in.getAskId(),
            .asker = NodeName(toString(in.getAsker())),
            .workspace = WorkspaceName(toString(in.getWorkspace())),
            .wanted = toCount(in.getWanted()),
            .returned = toCount(in.getReturned())};
}

void write(schema::RateGrant::Builder out, const RateGrant &in)
{
    out.setAskId(in.askId);
    out.setWorkspace(in.workspace.value);
    out.setGranted(in.granted);
    out.setDryForNs(in.dryFor.count());
}

RateGrant readRateGrant(schema::RateGrant::Reader in)
{
    return {.askId = in.getAskId(),
            .workspace = WorkspaceName(toString(in.getWorkspace())),
            .granted = toCount(in.getGranted()),
            .dryFor = toDuration(in.getDryForNs())};
}

void write(schema::TableWatch::Builder out, const TableWatch &in)
{
    out.setRequestId(in.requestId);
    out.setTable(in.table);
    out.setAfterVersion(in.afterVersion);
    out.setWaitNs(in.wait.count());
}

TableWatch readTableWatch(schema::TableWatch::Reader in)
{
    return {.requestId = in.getRequestId(),
            .table = toString(in.getTable()),
            .afterVersion = in.getAfterVersion(),
            .wait = toDuration(in.getWaitNs())};
}

void write(schema::TableChanges::Builder out, const TableChanges &in)
{
    out.setRequestId(in.requestId);
    out.setKnown(in.known);
    out.setVersion(in.version);
    out.setConfirmedAfterNs(in.confirmedAfter.count());
    auto rows = out.initRows(in.rows.size());
    for (unsigned index = 0; index < in.rows.size(); ++index) {
        rows[index].setKey(in.rows[index].key);
        rows[index].setValue(toData(in.rows[index].value));
        rows[index].setVersion(in.rows[index].version);
        rows[index].setDeleted(in.rows[index].deleted);
    }
}

TableChanges readTableChanges(schema::TableChanges::Reader in)
{
    TableChanges out;
    out.requestId = in.getRequestId();
    out.known = in.getKnown();
    out.version = in.getVersion();
    out.confirmedAfter = Duration(in.getConfirmedAfterNs()); // May be negative, which toDuration() rejects.
    for (const auto row : in.getRows()) {
        out.rows.push_back({.key = toString(row.getKey()),
                            .value = toString(row.getValue()),
                            .version = row.getVersion(),
                            .deleted = row.getDeleted()});
    }
    return out;
}

void write(schema::DepartureNote::Builder out, const DepartureNote &in)
{
    out.setKind(static_cast<std::uint8_t>(in.kind));
    out.setNode(in.node.value);
    out.setSender(in.sender.value);
    out.setNoteId(in.noteId);
    out.setConfigVersion(in.configVersion);
    auto departures = out.initDepartures(in.departures.size());
    for (unsigned index = 0; index < in.departures.size(); ++index) {
        departures[index].setInstance(in.departures[index].instance);
        departures[index].setStartedAtMs(in.departures[index].startedAtMs);
    }
}

DepartureNote readDepartureNote(schema::DepartureNote::Reader in)
{
    DepartureNote out;
    out.kind = toEnum(in.getKind(), DepartureNoteKindNames);
    out.node = NodeName(toString(in.getNode()));
    out.sender = NodeName(toString(in.getSender()));
    out.noteId = in.getNoteId();
    out.configVersion = in.getConfigVersion();
    if (in.getDepartures().size() > MaxDepartures) {
        throw DecodeFailure("a note names too many departures");
    }
    for (const auto departure : in.getDepartures()) {
        out.departures.push_back(
            {.instance = toString(departure.getInstance()), .startedAtMs = departure.getStartedAtMs()});
    }
    return out;
}

} // namespace vanillatack::wire
