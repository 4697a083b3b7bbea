#include "wire/internal/callcodec.h"

namespace vanillatack::wire {

namespace {

void writeHeaders(capnp::List<schema::Header>::Builder out, const HeaderList &in)
{
    unsigned index = 0;
    for (const auto &[name, value] : in) {
        auto header = out[index++];
        header.setName(name);
        header.setValue(value);
    }
}

HeaderList readHeaders(capnp::List<schema::Header>::Reader in)
{
    HeaderList headers;
    headers.reserve(in.size());
    for (const auto header : in) {
        headers.emplace_back(toString(header.getName()), toString(header.getValue()));
    }
    return headers;
}

} // namespace

capnp::Data::Reader toData(const std::string &bytes)
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

std::string toString(capnp::Data::Reader data)
{
    return std::string(reinterpret_cast<const char *>(data.begin()), data.size());
}

std::string toString(capnp::Text::Reader text)
{
    return std::string(text.begin(), text.size());
}

void write(schema::CallRequest::Builder out, const CallRequest &in)
{
    out.setRequestId(in.requestId);
    out.setRootId(in.rootId);
    out.setWorkspace(in.workspace.value);
    out.setRootRoute(in.rootRoute.value);
    out.setRoute(in.route.value);
    out.setService(in.service.value);
    out.setPriority(static_cast<std::uint8_t>(in.priority));
    out.setDepth(static_cast<std::uint8_t>(in.depth));
    out.setDeadlineLeftNs(in.deadlineLeft.count());
    out.setAllowance(static_cast<std::uint16_t>(in.allowance));
    out.setIdempotent(in.idempotent);
    out.setMethod(in.method);
    out.setTarget(in.target);
    writeHeaders(out.initHeaders(in.headers.size()), in.headers);
    out.setBody(toData(in.body));
    out.setRank(static_cast<std::uint8_t>(in.rank));
    out.setInstance(in.instance);
    out.setSentAtNs(in.sentAt.count());
}

CallRequest readCallRequest(schema::CallRequest::Reader in)
{
    CallRequest out;
    out.requestId = in.getRequestId();
    out.rootId = toString(in.getRootId());
    out.workspace.value = toString(in.getWorkspace());
    out.rootRoute.value = toString(in.getRootRoute());
    out.route.value = toString(in.getRoute());
    out.service.value = toString(in.getService());
    out.priority = toEnum(in.getPriority(), PriorityClassNames);
    out.depth = in.getDepth();
    out.deadlineLeft = Duration(in.getDeadlineLeftNs());
    out.allowance = in.getAllowance();
    out.idempotent = in.getIdempotent();
    out.method = toString(in.getMethod());
    out.target = toString(in.getTarget());
    out.headers = readHeaders(in.getHeaders());
    out.body = toString(in.getBody());
    out.rank = in.getRank();
    out.instance = toString(in.getInstance());
    out.sentAt = Duration(in.getSentAtNs());
    return out;
}

void write(schema::CallReply::Builder out, const CallReply &in)
{
    out.setRequestId(in.requestId);
    out.setRefusal(static_cast<std::uint8_t>(in.refusal));
    out.setRunState(static_cast<std::uint8_t>(in.runState));
    out.setRefusedDeeper(in.refusedDeeper);
    out.setRetryAfterNs(in.retryAfter.count());
    out.setStatus(static_cast<std::uint16_t>(in.status));
    writeHeaders(out.initHeaders(in.headers.size()), in.headers);
    out.setBody(toData(in.body));
    out.setAllowanceReturned(static_cast<std::uint16_t>(in.allowanceReturned));
    auto levels = out.initLevels(in.levels.size());
    for (unsigned index = 0; index < in.levels.size(); ++index) {
        levels[index].setService(in.levels[index].service.value);
        levels[index].setLowestAdmitted(static_cast<std::uint8_t>(in.levels[index].lowestAdmitted));
        levels[index].setAdmittedPermille(static_cast<std::uint16_t>(in.levels[index].admittedPermille));
    }
}

CallReply readCallReply(schema::CallReply::Reader in)
{
    CallReply out;
    out.requestId = in.getRequestId();
    out.refusal = toEnum(in.getRefusal(), RefusalKindNames);
    out.runState = toEnum(in.getRunState(), RunStateNames);
    out.refusedDeeper = in.getRefusedDeeper();
    out.retryAfter = Duration(in.getRetryAfterNs());
    out.status = in.getStatus();
    out.headers = readHeaders(in.getHeaders());
    out.body = toString(in.getBody());
    out.allowanceReturned = in.getAllowanceReturned();
    for (const auto level : in.getLevels()) {
        out.levels.push_back({ServiceName(toString(level.getService())),
                              toEnum(level.getLowestAdmitted(), PriorityClassNames),
                              level.getAdmittedPermille()});
    }
    return out;
}

} // namespace vanillatack::wire
