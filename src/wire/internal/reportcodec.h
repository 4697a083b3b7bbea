#pragma once

#include "model/messages.h"
#include "nodeprotocol.capnp.h"

namespace vanillatack::wire {

void write(schema::NodeReport::Builder out, const NodeReport &in);
NodeReport readNodeReport(schema::NodeReport::Reader in);
void write(schema::ReportBundle::Builder out, const ReportBundle &in);
ReportBundle readReportBundle(schema::ReportBundle::Reader in);
void write(schema::RateAsk::Builder out, const RateAsk &in);
RateAsk readRateAsk(schema::RateAsk::Reader in);
void write(schema::RateGrant::Builder out, const RateGrant &in);
RateGrant readRateGrant(schema::RateGrant::Reader in);
void write(schema::TableWatch::Builder out, const TableWatch &in);
TableWatch readTableWatch(schema::TableWatch::Reader in);
void write(schema::TableChanges::Builder out, const TableChanges &in);
TableChanges readTableChanges(schema::TableChanges::Reader in);
void write(schema::DepartureNote::Builder out, const DepartureNote &in);
DepartureNote readDepartureNote(schema::DepartureNote::Reader in);

} // namespace vanillatack::wire
