#pragma once

#include "wire/codec.h"
#include "wire/internal/callcodec.h"

namespace vanillatack::wire {

void write(schema::Control::Builder out, const ControlFrame &in);
ControlFrame readControl(schema::Control::Reader in);

} // namespace vanillatack::wire
