#include "standin/standinplatform.h"

#include "base/random.h"
#include "base/text.h"
#include "standin/internal/restartablehttpserver.h"
#include "store/platformprotocol.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

namespace vanillatack {

namespace {

using Json = nlohmann::json;

constexpr int StatusOk = 200;
constexpr int StatusNoContent = 204;
constexpr int StatusBadRequest = 400;
constexpr int StatusConflict = 409;
constexpr int StatusInternalError = 500;
constexpr int StatusUnavailable = 503;
constexpr int ControlThreads = 4;
constexpr std::size_t MaxScanRows = 1000;

void respond(httplib::Response &response, int status, const std::string &body, const char *type = "application/json")
{
    response.status = status;
    if (status != StatusNoContent) {
        response.set_content(body, type);
    }
}

void respondWithError(httplib::Response &response, int status, const Error &error)
{
    respond(response, status, error.text(), "text/plain");
}

/// Declares a longer body than it sends, so that the caller sees the connection close within the response.
void truncateResponse(httplib::Response &response)
{
    response.status = StatusOk;
    response.set_content_provider(1, "application/json", [](std::size_t, std::size_t, httplib::DataSink &) {
        return false;
    });
}

std::size_t scanLimit(const std::string &text)
{
    std::size_t limit = MaxScanRows;
    std::from_chars(text.data(), text.data() + text.size(), limit);
    return std::min(limit, MaxScanRows);
}

Json faultsJson(const PlatformFaults &faults)
{
    return {{"down", PlatformDownNames.name(faults.down)},
            {"delayMs", faults.delayMs},
            {"loseAnswerProbability", faults.loseAnswerProbability},
            {"loss", AnswerLossNames.name(faults.loss)},
            {"seed", faults.seed}};
}

/// Absent members get their default, which is no fault.
Result<PlatformFaults> parseFaults(const std::string &text)
{
    try {
        const Json json = Json::parse(text);
        PlatformFaults faults;
        const auto down = PlatformDownNames.value(json.value("down", "no"));
        const auto loss = AnswerLossNames.value(json.value("loss", "drop"));
        if (!down || !loss) {
            return makeError(ErrorKind::InvalidArgument,
                             "The value of down or loss is not valid.",
                             "down is one of " + PlatformDownNames.list() + "; loss is one of " + AnswerLossNames.list()
                                 + ".");
        }
        faults.down = *down;
        faults.loss = *loss;
        faults.delayMs = json.value("delayMs", faults.delayMs);
        faults.loseAnswerProbability = json.value("loseAnswerProbability", faults.loseAnswerProbability);
        faults.seed = json.value("seed", faults.seed);
        return faults;
    } catch (const Json::exception &exception) {
        return makeError(ErrorKind::InvalidArgument, exception.what(), "Send the faults as a JSON object.");
    }
}

} // namespace

class StandInPlatform::Impl
{
public:
    explicit Impl(const StandInPlatformOptions &options)
        : m_data(options.address,
                 options.port,
                 options.threads,
                 [this](httplib::Server &server) {
                     addDataPaths(server);
                 })
        , m_control(options.address, options.controlPort, ControlThreads, [this](httplib::Server &server) {
            addControlPaths(server);
        })
    {
    }

    ~Impl()
    {
        m_control.stop();
        m_data.stop();
    }

    Result<void> start()
    {
        const Result<void> data = m_data.start();
        return data ? m_control.start() : data;
    }

    Result<void> setFaults(const PlatformFaults &faults)
    {
        const std::lock_guard portLock(m_portMutex);
        {
            const std::lock_guard lock(m_mutex);
            m_faults = faults;
            m_random = SeededRandom(faults.seed);
        }
        if (faults.down == PlatformDown::Refuse) {
            m_data.stop();
            return success();
        }
        return m_data.start();
    }

    PlatformCounters counters()
    {
        const std::lock_guard lock(m_mutex);
        return m_counters;
    }

    void resetCounters()
    {
        const std::lock_guard lock(m_mutex);
        m_counters = {};
    }

    RestartableHttpServer &data()
    {
        return m_data;
    }

    RestartableHttpServer &control()
    {
        return m_control;
    }

    MemoryStore &store()
    {
        return m_store;
    }

private:
    using Handler = std::function<void(const httplib::Request &, httplib::Response &)>;

    void addDataPaths(httplib::Server &server);
    void addControlPaths(httplib::Server &server);
    Handler readHandler(Handler handler);
    Handler writeHandler(Handler handler);
    bool admit(httplib::Response &response, bool isWrite);
    void loseResponse(httplib::Response &response);
    void commit(const httplib::Request &request, httplib::Response &response);
    void put(const httplib::Request &request, httplib::Response &response);

    MemoryStore m_store;
    std::mutex m_portMutex; ///< Held while the data port is opened or closed.
    std::mutex m_mutex; ///< Guards m_faults, m_counters and m_random.
    PlatformFaults m_faults;
    PlatformCounters m_counters;
    SeededRandom m_random{1};
    RestartableHttpServer m_data;
    RestartableHttpServer m_control;
};

void StandInPlatform::Impl::addDataPaths(httplib::Server &server)
{
    server.Get(std::string(RowPath), readHandler([this](const auto &request, auto &response) {
                   const auto row = m_store.read(request.get_param_value("key"));
                   respond(response, row ? StatusOk : StatusNoContent, row ? encodeRow(*row) : std::string());
               }));
    server.Post(std::string(ReadManyPath), readHandler([this](const auto &request, auto &response) {
                    const auto keys = decodeKeys(request.body);
                    if (!keys) {
                        respondWithError(response, StatusBadRequest, keys.error());
                        return;
                    }
                    respond(response, StatusOk, encodeRows(m_store.readMany(keys.value())));
                }));
    server.Get(std::string(ScanPath), readHandler([this](const auto &request, auto &response) {
                   const auto rows = m_store.scan(request.get_param_value("prefix"),
                                                  request.get_param_value("after"),
                                                  scanLimit(request.get_param_value("limit")));
                   respond(response, StatusOk, encodeRows(rows));
               }));
    server.Post(std::string(TransactionPath), writeHandler([this](const auto &request, auto &response) {
                    commit(request, response);
                }));
    const std::string objects = std::string(ObjectPath) + "(.+)";
    server.Get(objects, readHandler([this](const auto &request, auto &response) {
                   const auto content = m_store.getObject(request.matches[1]);
                   respond(response,
                           content ? StatusOk : StatusNoContent,
                           content.value_or(std::string()),
                           "application/octet-stream");
               }));
    server.Put(objects, writeHandler([this](const auto &request, auto &response) {
                   put(request, response);
               }));
}

void StandInPlatform::Impl::addControlPaths(httplib::Server &server)
{
    server.Get("/control", [this](const httplib::Request &, httplib::Response &response) {
        const std::lock_guard lock(m_mutex);
        const Json counters = {{"reads", m_counters.reads},
                               {"writes", m_counters.writes},
                               {"answersLost", m_counters.answersLost},
                               {"refused", m_counters.refused}};
        respond(response, StatusOk, Json{{"faults", faultsJson(m_faults)}, {"counters", counters}}.dump());
    });
    server.Post("/control/faults", [this](const httplib::Request &request, httplib::Response &response) {
        const auto faults = parseFaults(request.body);
        if (!faults) {
            respondWithError(response, StatusBadRequest, faults.error());
            return;
        }
        const Result<void> set = setFaults(faults.value());
        if (!set) {
            respondWithError(response, StatusInternalError, set.error());
            return;
        }
        respond(response, StatusOk, faultsJson(faults.value()).dump());
    });
    server.Post("/control/reset", [this](const httplib::Request &, httplib::Response &response) {
        resetCounters();
        respond(response, StatusOk, "{}");
    });
}

StandInPlatform::Impl::Handler StandInPlatform::Impl::readHandler(Handler handler)
{
    return [this, handler = std::move(handler)](const httplib::Request &request, httplib::Response &response) {
        if (admit(response, false)) {
            handler(request, response);
        }
    };
}

StandInPlatform::Impl::Handler StandInPlatform::Impl::writeHandler(Handler handler)
{
    return [this, handler = std::move(handler)](const httplib::Request &request, httplib::Response &response) {
        if (admit(response, true)) {
            handler(request, response);
            loseResponse(response);
        }
    };
}

/// Counts the call and waits for the delay. Responds with 503 and returns false while the platform is down.
bool StandInPlatform::Impl::admit(httplib::Response &response, bool isWrite)
{
    std::chrono::milliseconds delay{0};
    {
        const std::lock_guard lock(m_mutex);
        if (m_faults.down != PlatformDown::No) {
            ++m_counters.refused;
            respond(response, StatusUnavailable, "The stand-in platform is set to be down.", "text/plain");
            return false;
        }
        ++(isWrite ? m_counters.writes : m_counters.reads);
        delay = std::chrono::milliseconds(m_faults.delayMs);
    }
    std::this_thread::sleep_for(delay);
    return true;
}

void StandInPlatform::Impl::loseResponse(httplib::Response &response)
{
    const std::lock_guard lock(m_mutex);
    if (m_random.fraction() >= m_faults.loseAnswerProbability) {
        return;
    }
    ++m_counters.answersLost;
    response.body.clear();
    if (m_faults.loss == AnswerLoss::Drop) {
        truncateResponse(response);
    } else {
        respond(response, StatusInternalError, "The stand-in platform loses this answer.", "text/plain");
    }
}

void StandInPlatform::Impl::commit(const httplib::Request &request, httplib::Response &response)
{
    const auto writes = decodeWrites(request.body);
    if (!writes) {
        respondWithError(response, StatusBadRequest, writes.error());
        return;
    }
    const auto result = m_store.commit(writes.value());
    if (!result) {
        respondWithError(response, StatusBadRequest, result.error());
        return;
    }
    respond(response, StatusOk, encodeCommit(result.value()));
}

void StandInPlatform::Impl::put(const httplib::Request &request, httplib::Response &response)
{
    const auto result = m_store.putObject(request.matches[1], request.body);
    if (!result) {
        respondWithError(response, StatusConflict, result.error());
        return;
    }
    respond(response, StatusOk, "{}");
}

StandInPlatform::StandInPlatform(StandInPlatformOptions options)
    : m_impl(std::make_unique<Impl>(options))
{
}

StandInPlatform::~StandInPlatform() = default;

Result<void> StandInPlatform::start()
{
    return m_impl->start();
}

int StandInPlatform::port() const
{
    return m_impl->data().port();
}

int StandInPlatform::controlPort() const
{
    return m_impl->control().port();
}

Result<void> StandInPlatform::setFaults(const PlatformFaults &faults)
{
    return m_impl->setFaults(faults);
}

PlatformCounters StandInPlatform::counters() const
{
    return m_impl->counters();
}

void StandInPlatform::resetCounters()
{
    m_impl->resetCounters();
}

MemoryStore &StandInPlatform::store()
{
    return m_impl->store();
}

} // namespace vanillatack
