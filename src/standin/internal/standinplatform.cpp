#include "standin/standinplatform.h"

#include "base/random.h"
#include "base/text.h"
#include "standin/internal/listener.h"
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
constexpr int StatusAbsent = 204;
constexpr int StatusBadRequest = 400;
constexpr int StatusConflict = 409;
constexpr int StatusInternalError = 500;
constexpr int StatusUnavailable = 503;
constexpr int ControlThreads = 4;
constexpr std::size_t ScanLimit = 1000;

void answer(httplib::Response &response, int status, const std::string &body, const char *type = "application/json")
{
    response.status = status;
    if (status != StatusAbsent) {
        response.set_content(body, type);
    }
}

void answerError(httplib::Response &response, int status, const Error &error)
{
    answer(response, status, error.text(), "text/plain");
}

/// Announces more bytes than it sends, so that the caller sees a connection closed within the answer.
void dropAnswer(httplib::Response &response)
{
    response.status = StatusOk;
    response.set_content_provider(1, "application/json", [](std::size_t, std::size_t, httplib::DataSink &) {
        return false;
    });
}

std::size_t scanLimit(const std::string &text)
{
    std::size_t limit = ScanLimit;
    std::from_chars(text.data(), text.data() + text.size(), limit);
    return std::min(limit, ScanLimit);
}

Json faultsJson(const PlatformFaults &faults)
{
    return {{"down", PlatformDownNames.name(faults.down)},
            {"delayMs", faults.delayMs},
            {"loseAnswerProbability", faults.loseAnswerProbability},
            {"loss", AnswerLossNames.name(faults.loss)},
            {"seed", faults.seed}};
}

/// Members that are absent keep the value of a platform without faults.
Result<PlatformFaults> parseFaults(const std::string &text)
{
    try {
        const Json json = Json::parse(text);
        PlatformFaults faults;
        const auto down = PlatformDownNames.value(json.value("down", "no"));
        const auto loss = AnswerLossNames.value(json.value("loss", "drop"));
        if (!down || !loss) {
            return makeError(ErrorKind::InvalidArgument,
                             "A value of the faults is not valid.",
                             "down is one of " + PlatformDownNames.list() + "; loss is one of " + AnswerLossNames.list()
                                 + ".");
        }
        faults.down = *down;
        faults.loss = *loss;
        faults.delayMs = json.value("delayMs", faults.delayMs);
        faults.loseAnswerProbability = json.value("loseAnswerProbability", faults.loseAnswerProbability);
        faults.seed = json.value("seed", faults.seed);
        return faults;
    } catch (const Json::exception &problem) {
        return makeError(ErrorKind::InvalidArgument, problem.what(), "Send the faults as a JSON object.");
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
        const std::lock_guard switching(m_switching);
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

    Listener &data()
    {
        return m_data;
    }

    Listener &control()
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
    Handler asRead(Handler handler);
    Handler asWrite(Handler handler);
    bool admit(httplib::Response &response, bool isWrite);
    void loseAnswer(httplib::Response &response);
    void commit(const httplib::Request &request, httplib::Response &response);
    void put(const httplib::Request &request, httplib::Response &response);

    MemoryStore m_store;
    std::mutex m_switching; ///< Held while the data port opens or closes.
    std::mutex m_mutex; ///< Guards what follows.
    PlatformFaults m_faults;
    PlatformCounters m_counters;
    SeededRandom m_random{1};
    Listener m_data;
    Listener m_control;
};

void StandInPlatform::Impl::addDataPaths(httplib::Server &server)
{
    server.Get(std::string(RowPath), asRead([this](const auto &request, auto &response) {
                   const auto row = m_store.read(request.get_param_value("key"));
                   answer(response, row ? StatusOk : StatusAbsent, row ? encodeRow(*row) : std::string());
               }));
    server.Post(std::string(ReadManyPath), asRead([this](const auto &request, auto &response) {
                    const auto keys = decodeKeys(request.body);
                    if (!keys) {
                        answerError(response, StatusBadRequest, keys.error());
                        return;
                    }
                    answer(response, StatusOk, encodeRows(m_store.readMany(keys.value())));
                }));
    server.Get(std::string(ScanPath), asRead([this](const auto &request, auto &response) {
                   const auto rows = m_store.scan(request.get_param_value("prefix"),
                                                  request.get_param_value("after"),
                                                  scanLimit(request.get_param_value("limit")));
                   answer(response, StatusOk, encodeRows(rows));
               }));
    server.Post(std::string(TransactionPath), asWrite([this](const auto &request, auto &response) {
                    commit(request, response);
                }));
    const std::string objects = std::string(ObjectPath) + "(.+)";
    server.Get(objects, asRead([this](const auto &request, auto &response) {
                   const auto content = m_store.getObject(request.matches[1]);
                   answer(response,
                          content ? StatusOk : StatusAbsent,
                          content.value_or(std::string()),
                          "application/octet-stream");
               }));
    server.Put(objects, asWrite([this](const auto &request, auto &response) {
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
        answer(response, StatusOk, Json{{"faults", faultsJson(m_faults)}, {"counters", counters}}.dump());
    });
    server.Post("/control/faults", [this](const httplib::Request &request, httplib::Response &response) {
        const auto faults = parseFaults(request.body);
        if (!faults) {
            answerError(response, StatusBadRequest, faults.error());
            return;
        }
        const Result<void> set = setFaults(faults.value());
        if (!set) {
            answerError(response, StatusInternalError, set.error());
            return;
        }
        answer(response, StatusOk, faultsJson(faults.value()).dump());
    });
    server.Post("/control/reset", [this](const httplib::Request &, httplib::Response &response) {
        resetCounters();
        answer(response, StatusOk, "{}");
    });
}

StandInPlatform::Impl::Handler StandInPlatform::Impl::asRead(Handler handler)
{
    return [this, handler = std::move(handler)](const httplib::Request &request, httplib::Response &response) {
        if (admit(response, false)) {
            handler(request, response);
        }
    };
}

StandInPlatform::Impl::Handler StandInPlatform::Impl::asWrite(Handler handler)
{
    return [this, handler = std::move(handler)](const httplib::Request &request, httplib::Response &response) {
        if (admit(response, true)) {
            handler(request, response);
            loseAnswer(response);
        }
    };
}

/// Counts the call, waits for the delay and answers 503 while the platform is down.
bool StandInPlatform::Impl::admit(httplib::Response &response, bool isWrite)
{
    std::chrono::milliseconds delay{0};
    {
        const std::lock_guard lock(m_mutex);
        if (m_faults.down != PlatformDown::No) {
            ++m_counters.refused;
            answer(response, StatusUnavailable, "The stand-in platform is set to be down.", "text/plain");
            return false;
        }
        ++(isWrite ? m_counters.writes : m_counters.reads);
        delay = std::chrono::milliseconds(m_faults.delayMs);
    }
    std::this_thread::sleep_for(delay);
    return true;
}

void StandInPlatform::Impl::loseAnswer(httplib::Response &response)
{
    const std::lock_guard lock(m_mutex);
    if (m_random.fraction() >= m_faults.loseAnswerProbability) {
        return;
    }
    ++m_counters.answersLost;
    response.body.clear();
    if (m_faults.loss == AnswerLoss::Drop) {
        dropAnswer(response);
    } else {
        answer(response, StatusInternalError, "The stand-in platform loses this answer.", "text/plain");
    }
}

void StandInPlatform::Impl::commit(const httplib::Request &request, httplib::Response &response)
{
    const auto writes = decodeWrites(request.body);
    if (!writes) {
        answerError(response, StatusBadRequest, writes.error());
        return;
    }
    const auto result = m_store.commit(writes.value());
    if (!result) {
        answerError(response, StatusBadRequest, result.error());
        return;
    }
    answer(response, StatusOk, encodeCommit(result.value()));
}

void StandInPlatform::Impl::put(const httplib::Request &request, httplib::Response &response)
{
    const auto result = m_store.putObject(request.matches[1], request.body);
    if (!result) {
        answerError(response, StatusConflict, result.error());
        return;
    }
    answer(response, StatusOk, "{}");
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
