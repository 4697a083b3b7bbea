#pragma once

#include "daemon/internal/egressforwarder.h"

namespace vanillatack {

/// HTTP interface for root requests of outside callers.
class CallerHttpHandler final : public IHttpHandler
{
public:
    explicit CallerHttpHandler(EgressForwarder &egress);

    HttpResponse handle(const HttpRequest &request, int callerSocket) override;
    HttpResponse makeErrorResponse(int status) override;

private:
    EgressForwarder &m_egress;
};

/// HTTP interface for the local instance: announcements, inner calls, health and readiness.
class LocalHttpHandler final : public IHttpHandler
{
public:
    LocalHttpHandler(EgressForwarder &egress, NodeLock &lock, INode &node);

    HttpResponse handle(const HttpRequest &request, int callerSocket) override;
    HttpResponse makeErrorResponse(int status) override;

private:
    HttpResponse announce(const HttpRequest &request);
    HttpResponse readiness();

    EgressForwarder &m_egress;
    NodeLock &m_lock;
    INode &m_node;
};

} // namespace vanillatack
