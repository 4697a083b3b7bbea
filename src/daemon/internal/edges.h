#pragma once

#include "daemon/internal/egressshell.h"

namespace vanillatack {

/// HTTP interface for outside callers.
class CallerEdge final : public IHttpHandler
{
public:
    explicit CallerEdge(EgressShell &egress);

    HttpResponse handle(const HttpRequest &request, int callerSocket) override;
    HttpResponse makeErrorResponse(int status) override;

private:
    EgressShell &m_egress;
};

/// HTTP interface for the upstream on this VM: its announcements, the calls it makes for the requests it serves, and
/// health and readiness.
class LocalEdge final : public IHttpHandler
{
public:
    LocalEdge(EgressShell &egress, NodeLock &lock, INode &node);

    HttpResponse handle(const HttpRequest &request, int callerSocket) override;
    HttpResponse makeErrorResponse(int status) override;

private:
    HttpResponse announce(const HttpRequest &request);
    HttpResponse readiness();

    EgressShell &m_egress;
    NodeLock &m_lock;
    INode &m_node;
};

} // namespace vanillatack
