#include "wire/internal/controlcodec.h"

namespace vanillatack::wire {

namespace {

void write(schema::Member::Builder out, const Member &in)
{
    out.setNode(in.node.value);
    out.setZone(in.zone.value);
    out.setAddress(in.endpoint.address);
    out.setPort(in.endpoint.port);
    out.setService(in.service.value);
    out.setSlots(in.slots);
    out.setIncarnation(in.incarnation);
    out.setState(static_cast<std::uint8_t>(in.state));
    out.setCold(in.cold);
    out.setShareSlot(static_cast<std::int16_t>(in.shareSlot));
}

Member readMember(schema::Member::Reader in)
{
    Member out;
    out.node.value = toString(in.getNode());
    out.zone.value = toString(in.getZone());
    out.endpoint = {toString(in.getAddress()), in.getPort()};
    out.service.value = toString(in.getService());
    out.slots = in.getSlots();
    out.incarnation = in.getIncarnation();
    out.state = toEnum(in.getState(), MemberStateNames);
    out.cold = in.getCold();
    out.shareSlot = in.getShareSlot();
    return out;
}

void writeMembers(capnp::List<schema::Member>::Builder out, const std::vector<Member> &in)
{
    for (unsigned index = 0; index < in.size(); ++index) {
        write(out[index], in[index]);
    }
}

std::vector<Member> readMembers(capnp::List<schema::Member>::Reader in)
{
    std::vector<Member> members;
    members.reserve(in.size());
    for (const auto member : in) {
        members.push_back(readMember(member));
    }
    return members;
}

void write(schema::StateVersions::Builder out, const StateVersions &in)
{
    out.setConfigVersion(in.configVersion);
    out.setKeysVersion(in.keysVersion);
    out.setWithdrawalCount(in.withdrawalCount);
    out.setWithdrawalHash(in.withdrawalHash);
}

StateVersions readVersions(schema::StateVersions::Reader in)
{
    return {in.getConfigVersion(), in.getKeysVersion(), in.getWithdrawalCount(), in.getWithdrawalHash()};
}

/// Ping and Ack have the same fields.
template<class Message>
void writeProbe(schema::Probe::Builder out, const Message &in)
{
    out.setSequence(in.sequence);
    write(out.initSelf(), in.self);
    writeMembers(out.initUpdates(in.updates.size()), in.updates);
    out.setMemberHash(in.memberHash);
    write(out.initVersions(), in.versions);
}

template<class Message>
Message readProbe(schema::Probe::Reader in)
{
    return {in.getSequence(),
            readMember(in.getSelf()),
            readMembers(in.getUpdates()),
            in.getMemberHash(),
            readVersions(in.getVersions())};
}

void writeMessage(schema::Control::Builder out, const Ping &in)
{
    writeProbe(out.initPing(), in);
}

void writeMessage(schema::Control::Builder out, const Ack &in)
{
    writeProbe(out.initAck(), in);
}

void writeMessage(schema::Control::Builder out, const PingIndirect &in)
{
    auto message = out.initPingIndirect();
    message.setSequence(in.sequence);
    write(message.initSelf(), in.self);
    message.setTarget(in.target.value);
    message.setTargetAddress(in.targetEndpoint.address);
    message.setTargetPort(in.targetEndpoint.port);
}

PingIndirect read(schema::PingIndirect::Reader in)
{
    return {in.getSequence(),
            readMember(in.getSelf()),
            NodeName(toString(in.getTarget())),
            {toString(in.getTargetAddress()), in.getTargetPort()}};
}

void writeMessage(schema::Control::Builder out, const MemberSync &in)
{
    auto message = out.initMemberSync();
    message.setSender(in.sender.value);
    message.setReplyWanted(in.replyWanted);
    writeMembers(message.initMembers(in.members.size()), in.members);
}

MemberSync read(schema::MemberSync::Reader in)
{
    return {NodeName(toString(in.getSender())), in.getReplyWanted(), readMembers(in.getMembers())};
}

void write(schema::ServiceSummary::Builder out, const ServiceSummary &in)
{
    out.setService(in.service.value);
    out.setHealthyInstances(in.healthyInstances);
    writeMembers(out.initContacts(in.contacts.size()), in.contacts);
}

void writeMessage(schema::Control::Builder out, const ZoneDigest &in)
{
    auto message = out.initZoneDigest();
    message.setSender(in.sender.value);
    message.setZone(in.zone.value);
    message.setVersion(in.version);
    auto services = message.initServices(in.services.size());
    for (unsigned index = 0; index < in.services.size(); ++index) {
        write(services[index], in.services[index]);
    }
    writeMembers(message.initRelays(in.relays.size()), in.relays);
    writeMembers(message.initShareOwners(in.shareOwners.size()), in.shareOwners);
    write(message.initVersions(), in.versions);
    message.setNodes(in.nodes);
    message.setReplyWanted(in.replyWanted);
    message.setBaseVersion(in.baseVersion);
    message.setHeartbeat(in.heartbeat);
}

ZoneDigest read(schema::ZoneDigest::Reader in)
{
    ZoneDigest out;
    out.sender.value = toString(in.getSender());
    out.zone.value = toString(in.getZone());
    out.version = in.getVersion();
    for (const auto service : in.getServices()) {
        out.services.push_back({ServiceName(toString(service.getService())),
                                service.getHealthyInstances(),
                                readMembers(service.getContacts())});
    }
    out.relays = readMembers(in.getRelays());
    out.shareOwners = readMembers(in.getShareOwners());
    out.versions = readVersions(in.getVersions());
    out.nodes = in.getNodes();
    out.replyWanted = in.getReplyWanted();
    out.baseVersion = in.getBaseVersion();
    out.heartbeat = in.getHeartbeat();
    return out;
}

void writeMessage(schema::Control::Builder out, const DocumentFetch &in)
{
    auto message = out.initDocumentFetch();
    message.setSender(in.sender.value);
    message.setKind(static_cast<std::uint8_t>(in.kind));
    message.setAboveVersion(in.aboveVersion);
}

DocumentFetch read(schema::DocumentFetch::Reader in)
{
    return {NodeName(toString(in.getSender())), toEnum(in.getKind(), DocumentKindNames), in.getAboveVersion()};
}

void writeMessage(schema::Control::Builder out, const DocumentPush &in)
{
    auto message = out.initDocumentPush();
    message.setSender(in.sender.value);
    message.setKind(static_cast<std::uint8_t>(in.kind));
    message.setVersion(in.version);
    message.setDigest(in.digest);
    message.setContent(toData(in.content));
}

DocumentPush read(schema::DocumentPush::Reader in)
{
    return {NodeName(toString(in.getSender())),
            toEnum(in.getKind(), DocumentKindNames),
            in.getVersion(),
            toString(in.getDigest()),
            toString(in.getContent())};
}

void writeMessage(schema::Control::Builder out, const WithdrawalSync &in)
{
    auto message = out.initWithdrawalSync();
    message.setSender(in.sender.value);
    message.setReplyWanted(in.replyWanted);
    auto keys = message.initKeys(in.keys.size());
    for (unsigned index = 0; index < in.keys.size(); ++index) {
        keys[index].setKey(in.keys[index].key.value);
        keys[index].setWithdrawnAtMs(in.keys[index].withdrawnAtMs);
    }
}

WithdrawalSync read(schema::WithdrawalSync::Reader in)
{
    WithdrawalSync out{NodeName(toString(in.getSender())), in.getReplyWanted(), {}};
    for (const auto key : in.getKeys()) {
        out.keys.push_back({KeyId(toString(key.getKey())), key.getWithdrawnAtMs()});
    }
    return out;
}

void writeItem(schema::LoanItem::Builder out, const LoanItem &in)
{
    out.setWorkspace(in.workspace.value);
    out.setRate(in.rate);
    out.setBurst(in.burst);
    out.setTokens(in.tokens);
    out.setLoan(in.loan.value);
    out.setTermNs(in.term.count());
}

LoanItem readItem(schema::LoanItem::Reader in)
{
    return {WorkspaceName(toString(in.getWorkspace())),
            in.getRate(),
            in.getBurst(),
            in.getTokens(),
            LoanId{in.getLoan()},
            Duration(in.getTermNs())};
}

/// In the value types the first workspace has its own fields; on the wire all workspaces are items of one list.
template<class Builder>
void writeItems(Builder out, const LoanItem &first, const std::vector<LoanItem> &more)
{
    auto items = out.initItems(more.size() + 1);
    writeItem(items[0], first);
    for (unsigned index = 0; index < more.size(); ++index) {
        writeItem(items[index + 1], more[index]);
    }
}

std::vector<LoanItem> readItems(capnp::List<schema::LoanItem>::Reader in)
{
    if (in.size() == 0) {
        throw DecodeFailure("a loan message has no items");
    }
    std::vector<LoanItem> items;
    for (const auto item : in) {
        items.push_back(readItem(item));
    }
    return items;
}

void writeMessage(schema::Control::Builder out, const BorrowRequest &in)
{
    auto message = out.initBorrowRequest();
    message.setSender(in.sender.value);
    message.setReplyAddress(in.replyTo.address);
    message.setReplyPort(in.replyTo.port);
    message.setSequence(in.sequence);
    writeItems(message, {in.workspace, in.rate, in.burst, in.tokens, in.held, {}}, in.more);
}

BorrowRequest read(schema::BorrowRequest::Reader in)
{
    std::vector<LoanItem> items = readItems(in.getItems());
    const LoanItem first = items.front();
    items.erase(items.begin());
    return {NodeName(toString(in.getSender())),
            {toString(in.getReplyAddress()), in.getReplyPort()},
            in.getSequence(),
            first.workspace,
            first.rate,
            first.burst,
            first.tokens,
            first.loan,
            std::move(items)};
}

void writeMessage(schema::Control::Builder out, const BorrowGrant &in)
{
    auto message = out.initBorrowGrant();
    message.setSender(in.sender.value);
    message.setSequence(in.sequence);
    writeItems(message, {in.workspace, in.rate, in.burst, in.tokens, in.loan, in.term}, in.more);
}

BorrowGrant read(schema::BorrowGrant::Reader in)
{
    std::vector<LoanItem> items = readItems(in.getItems());
    const LoanItem first = items.front();
    items.erase(items.begin());
    return {NodeName(toString(in.getSender())),
            in.getSequence(),
            first.loan,
            first.workspace,
            first.rate,
            first.burst,
            first.tokens,
            first.term,
            std::move(items)};
}

void writeMessage(schema::Control::Builder out, const LoanReturn &in)
{
    auto message = out.initLoanReturn();
    message.setSender(in.sender.value);
    message.setLoan(in.loan.value);
    message.setLenderIncarnation(in.lenderIncarnation);
    message.setTokens(in.tokens);
}

LoanReturn read(schema::LoanReturn::Reader in)
{
    return {NodeName(toString(in.getSender())), LoanId{in.getLoan()}, in.getLenderIncarnation(), in.getTokens()};
}

void writeMessage(schema::Control::Builder out, const BurnPush &in)
{
    auto message = out.initBurnPush();
    message.setSender(in.sender.value);
    message.setContent(toData(in.content));
}

BurnPush read(schema::BurnPush::Reader in)
{
    return {NodeName(toString(in.getSender())), toString(in.getContent())};
}

ControlMessage readMessage(schema::Control::Reader in)
{
    switch (in.which()) {
    case schema::Control::PING:
        return readProbe<Ping>(in.getPing());
    case schema::Control::PING_INDIRECT:
        return read(in.getPingIndirect());
    case schema::Control::ACK:
        return readProbe<Ack>(in.getAck());
    case schema::Control::MEMBER_SYNC:
        return read(in.getMemberSync());
    case schema::Control::ZONE_DIGEST:
        return read(in.getZoneDigest());
    case schema::Control::DOCUMENT_FETCH:
        return read(in.getDocumentFetch());
    case schema::Control::DOCUMENT_PUSH:
        return read(in.getDocumentPush());
    case schema::Control::WITHDRAWAL_SYNC:
        return read(in.getWithdrawalSync());
    case schema::Control::BORROW_REQUEST:
        return read(in.getBorrowRequest());
    case schema::Control::BORROW_GRANT:
        return read(in.getBorrowGrant());
    case schema::Control::LOAN_RETURN:
        return read(in.getLoanReturn());
    case schema::Control::BURN_PUSH:
        return read(in.getBurnPush());
    }
    throw DecodeFailure("unknown control message type");
}

} // namespace

void write(schema::Control::Builder out, const ControlFrame &in)
{
    out.setSenderAddress(in.sender.address);
    out.setSenderPort(in.sender.port);
    std::visit(
        [&out](const auto &message) {
            writeMessage(out, message);
        },
        in.message);
}

ControlFrame readControl(schema::Control::Reader in)
{
    return {{toString(in.getSenderAddress()), in.getSenderPort()}, readMessage(in)};
}

} // namespace vanillatack::wire
