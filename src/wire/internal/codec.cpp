#include "wire/codec.h"

#include "wire/internal/callcodec.h"
#include "wire/internal/controlcodec.h"
#include "wire/internal/reportcodec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <array>
#include <cstring>

namespace vanillatack {

namespace {

using namespace wire;

void writeContent(schema::Frame::Builder out, const Hello &in)
{
    out.initHello().setNonce(toData(in.nonce));
}

void writeContent(schema::Frame::Builder out, const Challenge &in)
{
    auto challenge = out.initChallenge();
    challenge.setNonce(toData(in.nonce));
    challenge.setProof(toData(in.proof));
}

void writeContent(schema::Frame::Builder out, const Proof &in)
{
    out.initProof().setProof(toData(in.proof));
}

void writeContent(schema::Frame::Builder out, const CallRequest &in)
{
    write(out.initCallRequest(), in);
}

void writeContent(schema::Frame::Builder out, const CallReply &in)
{
    write(out.initCallReply(), in);
}

void writeContent(schema::Frame::Builder out, const ControlFrame &in)
{
    write(out.initControl(), in);
}

void writeContent(schema::Frame::Builder out, const CallCancel &in)
{
    out.initCallCancel().setRequestId(in.requestId);
}

void writeContent(schema::Frame::Builder out, const LinkProbe &in)
{
    auto probe = out.initLinkProbe();
    probe.setSequence(in.sequence);
    probe.setAnswer(in.answer);
    probe.setSentAtNs(in.sentAt.count());
}

void writeContent(schema::Frame::Builder out, const NodeReport &in)
{
    write(out.initNodeReport(), in);
}

void writeContent(schema::Frame::Builder out, const ReportBundle &in)
{
    write(out.initReportBundle(), in);
}

void writeContent(schema::Frame::Builder out, const RateAsk &in)
{
    write(out.initRateAsk(), in);
}

void writeContent(schema::Frame::Builder out, const RateGrant &in)
{
    write(out.initRateGrant(), in);
}

void writeContent(schema::Frame::Builder out, const TableWatch &in)
{
    write(out.initTableWatch(), in);
}

void writeContent(schema::Frame::Builder out, const TableChanges &in)
{
    write(out.initTableChanges(), in);
}

void writeContent(schema::Frame::Builder out, const DepartureNote &in)
{
    write(out.initDepartureNote(), in);
}

Frame readFrame(schema::Frame::Reader in)
{
    switch (in.which()) {
    case schema::Frame::HELLO:
        return Hello{toString(in.getHello().getNonce())};
    case schema::Frame::CHALLENGE:
        return Challenge{toString(in.getChallenge().getNonce()), toString(in.getChallenge().getProof())};
    case schema::Frame::PROOF:
        return Proof{toString(in.getProof().getProof())};
    case schema::Frame::CALL_REQUEST:
        return readCallRequest(in.getCallRequest());
    case schema::Frame::CALL_REPLY:
        return readCallReply(in.getCallReply());
    case schema::Frame::CONTROL:
        return readControl(in.getControl());
    case schema::Frame::CALL_CANCEL:
        return CallCancel{in.getCallCancel().getRequestId()};
    case schema::Frame::LINK_PROBE:
        return LinkProbe{
            in.getLinkProbe().getSequence(), in.getLinkProbe().getAnswer(), Duration(in.getLinkProbe().getSentAtNs())};
    case schema::Frame::NODE_REPORT:
        return readNodeReport(in.getNodeReport());
    case schema::Frame::REPORT_BUNDLE:
        return readReportBundle(in.getReportBundle());
    case schema::Frame::RATE_ASK:
        return readRateAsk(in.getRateAsk());
    case schema::Frame::RATE_GRANT:
        return readRateGrant(in.getRateGrant());
    case schema::Frame::TABLE_WATCH:
        return readTableWatch(in.getTableWatch());
    case schema::Frame::TABLE_CHANGES:
        return readTableChanges(in.getTableChanges());
    case schema::Frame::DEPARTURE_NOTE:
        return readDepartureNote(in.getDepartureNote());
    }
    throw DecodeFailure("unknown frame type");
}

Error decodeError(const std::string &reason)
{
    return makeError(ErrorKind::InvalidMessage,
                     "Cannot decode a message of another node: " + reason + ".",
                     "Check that all nodes run compatible versions.");
}

/// First segment of the messages of a thread. Most fit into it, and the builder clears only what a message has used.
kj::ArrayPtr<capnp::word> scratchSegment()
{
    constexpr std::size_t ScratchWords = 1024;
    thread_local std::array<capnp::word, ScratchWords> words{};
    return kj::arrayPtr(words.data(), words.size());
}

void build(capnp::MallocMessageBuilder &message, const Frame &frame)
{
    auto root = message.initRoot<schema::Frame>();
    std::visit(
        [&root](const auto &content) {
            writeContent(root, content);
        },
        frame);
}

} // namespace

std::string encodeFrame(const Frame &frame)
{
    capnp::MallocMessageBuilder message(scratchSegment());
    build(message, frame);
    const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return std::string(reinterpret_cast<const char *>(bytes.begin()), bytes.size());
}

Result<Frame> decodeFrame(std::string_view bytes)
{
    if (bytes.size() % sizeof(capnp::word) != 0 || bytes.empty()) {
        return decodeError("it is empty or its length is not a multiple of 8");
    }
    // The reader needs aligned words; a network buffer may be unaligned.
    kj::Array<capnp::word> words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    try {
        capnp::FlatArrayMessageReader reader(words);
        return readFrame(reader.getRoot<schema::Frame>());
    } catch (const kj::Exception &exception) {
        return decodeError(exception.getDescription().cStr());
    } catch (const DecodeFailure &failure) {
        return decodeError(failure.what());
    }
}

std::string encodePackedFrame(const Frame &frame)
{
    capnp::MallocMessageBuilder message(scratchSegment());
    build(message, frame);
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return std::string(reinterpret_cast<const char *>(bytes.begin()), bytes.size());
}

Result<Frame> decodePackedFrame(std::string_view bytes)
{
    try {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader reader(in);
        return readFrame(reader.getRoot<schema::Frame>());
    } catch (const kj::Exception &exception) {
        return decodeError(exception.getDescription().cStr());
    } catch (const DecodeFailure &failure) {
        return decodeError(failure.what());
    }
}

} // namespace vanillatack
