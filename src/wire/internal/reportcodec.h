#pragma once

#include "model/messages.h"
#include "nodeprotocol.capnp.h"

namespace vanillatack::wire {

void write(schema::NodeReport::Builder out, const NodeReport &in);
NodeReport readNodeReport(schema::NodeReport::Reader in);

} // namespace vanillatack::wire
