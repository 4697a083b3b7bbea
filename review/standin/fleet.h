// Stand-ins for one small deployment on loopback: the platform's store, instances, and clients. They start
// vanillatack-sidecar as the deploy file does, as separate processes, and stop them by their ids.
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;
using Json = nlohmann::json;

/// Thrown when a case cannot run; the program then exits with 2.
struct CannotRun {
    std::string reason;
};

/// Writes lines with the time since the start to a file and to standard output.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);
    [[nodiscard]] double seconds() const;

private:
    std::mutex m_mutex;
    Clock::time_point m_start = Clock::now();
    std::FILE *m_file = nullptr;
};

struct Message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body{};
    std::size_t declaredLength = 0;
    [[nodiscard]] std::string header(const std::string &name) const;
    [[nodiscard]] int status() const; ///< Of a response; 0 if there is none.
};

enum class ReadResult { Complete, Ended, TimedOut };

/// Reads one HTTP/1.1 message with Content-Length. `bytesPerSecond` 0 reads without a limit.
ReadResult readMessage(int socket, std::string &buffer, Message &message, Clock::time_point until,
                       std::size_t bytesPerSecond = 0);
bool sendAll(int socket, const std::string &bytes);

struct Address {
    std::string ip;
    int port = 0;
    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

/// Options of a client's socket, set before it connects.
struct SocketOptions {
    int receiveBuffer = 0; ///< Bytes; 0 leaves the default.
    int segmentSize = 0; ///< Bytes; 0 leaves the default of the loopback interface.
};
int connectTo(const Address &address, const SocketOptions &options = {}); ///< -1 if it fails.

/// A listener that handles each connection in a thread of its own.
class Listener
{
public:
    ~Listener();
    void start(const Address &address, std::function<void(int)> onConnection);
    void stop(); ///< Closes the listener and all connections.

private:
    int m_socket = -1;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
    std::mutex m_mutex;
    std::map<int, bool> m_open;
    std::atomic<int> m_running = 0;
};

/// The platform's metadata store: rows-get, rows-feed and rows-tx.
class Store
{
public:
    /// Opens an address for one machine. Each machine has its own, so that it can be cut off alone.
    void open(const std::string &machine, const Address &address);
    /// While a machine is cut off, neither its calls nor their answers arrive; its connections stay open.
    void cutOff(const std::string &machine, bool cut);
    void put(const std::string &table, const std::string &key, const std::string &value);
    void stop();

private:
    struct Row {
        std::string value; ///< base64
        std::uint64_t version = 0;
        bool deleted = false;
    };
    void serve(const std::string &machine, int socket);
    void awaitPath(const std::string &machine);
    std::pair<int, std::string> handle(const std::string &method, const std::string &target, const std::string &body);
    Json rows(const std::string &table, std::uint64_t after, bool withDeleted);

    std::map<std::string, std::unique_ptr<Listener>> m_listeners;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, bool> m_cutOff;
    std::uint64_t m_version = 0;
    std::map<std::pair<std::string, std::string>, Row> m_rows;
    bool m_stopping = false;
    Clock::time_point m_start = Clock::now();
};

/// What an instance saw of one request.
struct Run {
    double at = 0; ///< Seconds since the start of the record.
    std::string id{};
    std::string instance;
};

/// One application instance. The query of a request's path says how long its work takes (work_ms) and how many bytes
/// its answer has (bytes).
class Instance
{
public:
    Instance(Record &record, std::string id, std::string service, std::string zone, Address address, Address control,
             int slots);
    ~Instance();
    void start();
    void beginHeartbeats();
    void stopHeartbeats(); ///< No further heartbeat is sent.
    void sendHeartbeat(const std::string &state); ///< Sends the next one now.
    std::string nextHeartbeatBody(const std::string &state); ///< Counts as the next heartbeat.
    /// Returns whether it was acknowledged. Another id than the instance's own may be given.
    bool post(const std::string &call, const std::string &body, const std::string &id = {});
    bool deregister();
    void fallSilent(); ///< From now on neither answers nor heartbeats; connections stay open.
    [[nodiscard]] std::vector<Run> runs();
    [[nodiscard]] int running() const { return m_running; }
    [[nodiscard]] const std::string &id() const { return m_id; }
    void stop();

private:
    void serve(int socket);

    Record &m_record;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    Address m_address;
    Address m_control;
    int m_slots;
    std::uint64_t m_born;
    std::atomic<std::int64_t> m_sequence = 0;
    std::atomic<bool> m_beating = false;
    std::atomic<bool> m_silent = false;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_running = 0;
    std::thread m_heartbeats;
    Listener m_listener;
    std::mutex m_mutex;
    std::vector<Run> m_runs;
};

struct Machine {
    std::string name;
    std::string zone;
    std::string service;
    std::string ip;
    Address outbound, ready, control, app, store;
    int firstPort = 0;
    std::string settingsPath;
    pid_t pid = -1;
    std::unique_ptr<Instance> instance;
};

struct FleetSettings {
    double memoryMb = 260;
    double graceSeconds = 6;
};

/// All stand-ins and sidecar processes of a case. Ends what it started when destroyed.
class Fleet
{
public:
    Fleet(Record &record, std::string root, FleetSettings settings = {});
    ~Fleet();
    Machine &add(const std::string &name, const std::string &zone, const std::string &service, int slots);
    /// Starts the store, the sidecars and the instances, and waits until each sidecar is ready.
    void start(const Json &config);
    void startSidecar(Machine &machine);
    void awaitReady(Machine &machine);
    void signal(Machine &machine, int number);
    /// Waits until the process has ended. Returns its wait status, nullopt after the time limit.
    std::optional<int> awaitEnd(Machine &machine, Millis limit);
    [[nodiscard]] bool isRunning(Machine &machine);
    [[nodiscard]] Machine &machine(const std::string &name);
    Store &store() { return m_store; }

private:
    void writeSettings(Machine &machine);

    Record &m_record;
    std::string m_root;
    FleetSettings m_settings;
    std::string m_folder;
    std::string m_storeIp;
    Store m_store;
    std::vector<std::unique_ptr<Machine>> m_machines;
};

/// A request of a client, with the headers of the pages.
struct ClientRequest {
    std::string method = "GET";
    std::string host{};
    std::string path{};
    std::string id{};
    int deadlineMs = 5000;
    std::string body{};
    [[nodiscard]] std::string text() const;
};

extern const std::string ClientKey;
std::string newAttemptId();

/// Route of the desired state.
Json route(const std::string &name, const std::string &prefix, const std::string &kind, const std::string &service,
           double timeoutSeconds);
/// Desired state with one tenant. Its limit, by default, is far above what a case sends.
Json desiredState(const std::string &host, const std::vector<std::string> &services, const std::vector<Json> &routes,
                  const std::string &tenant = "pulo780", int ratePerSecond = 2000);

/// Sends one request on a new connection and waits for its answer. Returns its status; 0 if there was none.
int ask(const Address &address, const ClientRequest &request, Millis limit);
/// Repeats a request with new ids until it is answered with 200.
void askUntilServed(Machine &machine, ClientRequest request, Millis limit);

} // namespace review
