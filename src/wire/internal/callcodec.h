#pragma once

#include "model/messages.h"
#include "nodeprotocol.capnp.h"

#include <stdexcept>
#include <string>

namespace vanillatack::wire {

// DecodeFailure, toData(), toString() and toEnum() are shared by all codecs.

/// Thrown inside the codec for invalid values. The decode functions catch it.
class DecodeFailure : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

capnp::Data::Reader toData(const std::string &bytes);
std::string toString(capnp::Data::Reader data);
std::string toString(capnp::Text::Reader text);

/// Converts a number to an enum whose values start at 0. Throws DecodeFailure if it is out of range.
template<class Enum, std::size_t Size>
Enum toEnum(unsigned value, const NameTable<Enum, Size> &)
{
    if (value >= Size) {
        throw DecodeFailure("an enum value is out of range");
    }
    return static_cast<Enum>(value);
}

void write(schema::CallRequest::Builder out, const CallRequest &in);
void write(schema::CallReply::Builder out, const CallReply &in);
CallRequest readCallRequest(schema::CallRequest::Reader in);
CallReply readCallReply(schema::CallReply::Reader in);

} // namespace vanillatack::wire
