#pragma once

#include "fleet/tests/faketablestore.h"
#include "metrics/metricssetup.h"
#include "net/httpserver.h"
#include "proxy/proxysettings.h"
#include "proxy/trafficnode.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>

#include <CppUTest/TestHarness.h>

namespace vanillatack {

/// The system clock with simulated suspension of the VM.
class SuspendableClock final : public IClock
{
public:
    [[nodiscard]] TimePoint now() const override
    {
        return m_system.now();
    }
    [[nodiscard]] Duration elapsed() const override
    {
        return m_system.elapsed() + suspended;
    }
    [[nodiscard]] WallTime wallNow() const override
    {
        return m_system.wallNow();
    }

    Duration suspended{0}; ///< How long the VM was suspended.

private:
    SystemClock m_system;
};

/// A store that answers within milliseconds, shared by the nodes of a test. While it is away, it refuses all calls.
class SharedTableStore final : public ITableStore
{
public:
    /// Nodes with loops of their own use one table through a store for each loop.
    explicit SharedTableStore(EventLoop &loop,
                              std::shared_ptr<FakeTableStore> table = std::make_shared<FakeTableStore>())
        : m_loop(loop)
        , m_fake(std::move(table))
    {
    }

    void read(const std::string &table, const std::string &fromKey, TableCompletion completion) override
    {
        m_loop.callAfter(std::chrono::milliseconds(0), [this, table, fromKey, completion] {
            m_fake->read(table, fromKey, completion);
            finishCall();
        });
    }

    void watch(const std::string &table, std::uint64_t after, Duration wait, TableCompletion completion) override
    {
        m_loop.callAfter(std::chrono::milliseconds(2), [this, table, after, wait, completion] {
            if (m_fake->version <= after && !m_fake->away) {
                watch(table, after, wait, completion);
                return;
            }
            m_fake->watch(table, after, wait, completion);
            finishCall();
        });
    }

    void write(const ConditionalWrite &write, TableCompletion completion) override
    {
        m_loop.callAfter(std::chrono::milliseconds(0), [this, write, completion] {
            m_fake->write(write, completion);
            finishCall();
        });
    }

private:
    void finishCall()
    {
        if (m_fake->away) {
            m_fake->finish(TableOutcome::Refused);
        } else {
            m_fake->answer();
        }
    }

    EventLoop &m_loop;
    std::shared_ptr<FakeTableStore> m_fake;
};

inline HeaderNames headerNames()
{
    return {.attemptId = "Attempt",
            .timeLeft = "Time-Left",
            .key = "Key",
            .workspace = "Workspace",
            .callerService = "Caller-Service",
            .expectedInstance = "Expected",
            .notExecuted = "Not-Executed",
            .signature = "Signature",
            .requestLimit = "Limit",
            .leaving = "Leaving"};
}

/// An instance that sends a configured answer.
class FakeInstance final : public IHttpListener
{
public:
    explicit FakeInstance(EventLoop &loop)
        : server(makeHttpServer(loop, *this))
    {
        if (const auto opened = server->listen({"127.0.0.1", 0}); !opened) {
            FAIL("cannot listen on a loopback port for a fake instance");
        }
    }

    void onRequest(ExchangeId exchange, HttpRequest request, const std::string & /*peer*/) override
    {
        requests.push_back(request);
        exchanges.push_back(exchange);
        if (unresponsive) {
            return;
        }
        HttpResponse response = answer;
        if (repeatsAttemptId) {
            response.headers.emplace_back("Attempt", request.header("Attempt"));
        }
        server->respond(exchange, response);
    }

    void onExchangeAbandoned(ExchangeId exchange) override
    {
        abandonedExchanges.push_back(exchange);
    }

    std::unique_ptr<IHttpServer> server;
    HttpResponse answer = success();
    bool unresponsive = false;
    bool repeatsAttemptId = true;
    std::vector<HttpRequest> requests;
    std::vector<ExchangeId> exchanges;
    std::vector<ExchangeId> abandonedExchanges;

    static HttpResponse success()
    {
        HttpResponse response;
        response.status = 200;
        response.headers = {{"Signature", "s1"}};
        response.body = "whole";
        return response;
    }
};

/// A node with a loop of its own, which ends with it like a process.
struct NodeProcess {
    NodeProcess(std::shared_ptr<FakeTableStore> table, const IClock &clock, const ProxySettings &settings)
        : random(settings.callerEndpoint.port)
        , store(loop, std::move(table))
        , node(makeTrafficNode(loop, clock, random, store, metrics.metrics(), settings))
    {
    }

    void poll()
    {
        loop.context().restart();
        loop.context().poll();
    }

    EventLoop loop;
    SeededRandom random;
    MetricsSetup metrics;
    SharedTableStore store;
    std::unique_ptr<ITrafficNode> node;
};

inline void ignoreOutcome(ReportOutcome /*outcome*/)
{
}

/// Returns a port that is free now, as chosen by the kernel. The test must use it at once.
inline std::uint16_t freePort(EventLoop &loop)
{
    boost::asio::ip::tcp::acceptor acceptor(loop.context(), {boost::asio::ip::address_v4::loopback(), 0});
    return acceptor.local_endpoint().port();
}

} // namespace vanillatack
