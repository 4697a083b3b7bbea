// Stand-ins for the platform's store, instances and clients, and control of sidecar processes on loopback addresses.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Headers = std::vector<std::pair<std::string, std::string>>;

double secondsNow(); // since the start of the program
void sleepSeconds(double seconds);

/// Thread-safe record of what was sent, answered and run.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    FILE *m_file;
};

struct Message {
    std::string start; // request line or status line
    Headers headers;
    std::string body;
    std::string header(const std::string &name) const;
    int status() const;
};

/// A blocking TCP connection with buffered reads.
class Stream
{
public:
    explicit Stream(int descriptor);
    ~Stream();
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;
    static std::unique_ptr<Stream> connect(const std::string &address, int port);
    bool send(const std::string &bytes);
    bool readMessage(Message &message, double timeout); // false at the end of the connection, or after the timeout
    void shutdown();
    int descriptor() const
    {
        return m_descriptor;
    }

private:
    bool fill(double timeout);
    int m_descriptor;
    std::string m_buffer;
};

/// Accepts connections, one thread for each.
class Server
{
public:
    Server(const std::string &address, int port, std::function<void(Stream &)> serve);
    ~Server();

private:
    std::function<void(Stream &)> m_serve;
    int m_listener;
    std::atomic<bool> m_stopping{false};
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::vector<std::pair<std::thread, std::shared_ptr<Stream>>> m_connections;
};

/// The platform's table store: rows-get, rows-feed and rows-tx.
class Store
{
public:
    Store(const std::string &address, int port);
    void put(const std::string &table, const std::string &key, const std::string &value); // as the operator
    void stop();

private:
    struct Row {
        std::string value; // base64
        std::uint64_t version = 0;
        bool deleted = false;
    };
    void serve(Stream &stream);
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Row>> m_tables;
    std::uint64_t m_version = 0;
    bool m_stopping = false;
    std::unique_ptr<Server> m_server;
};

struct Answer {
    bool complete = false;
    int status = 0;
    std::string signature;
    std::string body;
};

struct ClientRequest {
    std::string method = "GET";
    std::string host;
    std::string path;
    std::string id;
    std::string key;
    int deadlineMs = 5000;
    std::string body;
};

/// Sends one request on a new connection and waits for its answer.
Answer request(const std::string &address, int port, const ClientRequest &request);
std::string format(const ClientRequest &request);

struct Machine {
    std::string name;
    std::string zone;
    std::string ip;
    std::string service;
    std::string storeAddress;
    int memoryMegabytes = 260;
};

inline constexpr int OutboundPort = 8548;
inline constexpr int InboundPort = 8543;
inline constexpr int ReadyPort = 8546;
inline constexpr int ControlPort = 8540;
inline constexpr int AppPort = 8547;
inline constexpr int StorePort = 8545;
inline constexpr int FirstFreePort = 7000;

/// A process of the deploy file's command, with the environment of the platform.
class Node
{
public:
    Node(Machine machine, std::string folder);
    ~Node();
    void start(bool bootstrap);
    void signal(int number) const;
    bool running(); // reaps the process
    void wait();
    bool ready() const; // asks ready_addr
    pid_t pid() const
    {
        return m_pid;
    }
    std::size_t residentBytes() const;
    const Machine &machine() const
    {
        return m_machine;
    }
    /// Connects the output of the next start to a pipe, as a log collector does, instead of a file.
    void collectOutput();
    /// Whether the collector reads.
    void setReading(bool reading)
    {
        m_reading = reading;
    }

private:
    Machine m_machine;
    std::string m_folder;
    pid_t m_pid = -1;
    int m_starts = 0;
    int m_pipe[2] = {-1, -1};
    std::atomic<bool> m_reading{true};
    std::atomic<bool> m_collecting{false};
    std::thread m_collector;
};

/// An application instance: answers requests, and reports to the control address of its machine.
class Instance
{
public:
    /// Called for each request that the instance runs.
    using Run = std::function<void(const Message &)>;


    /// Whether the next answer is bytes that are no answer.
    std::function<bool()> faulty;

    Instance(const Machine &machine, std::string id, Run run);
    ~Instance();
    std::string beat(const std::string &state) const; // the next status report, as bytes
    bool report(const std::string &bytes) const; // sends a report; true if acknowledged
    bool deregister() const;
    void keepReporting(); // ready, every 1.5 s
    void stopReporting();
    const std::string &id() const
    {
        return m_id;
    }

private:
    void serve(Stream &stream);
    Machine m_machine;
    std::string m_id;
    std::uint64_t m_born;
    mutable std::atomic<int> m_sequence{0};
    Run m_run;
    std::unique_ptr<Server> m_server;
    std::atomic<bool> m_reporting{false};
    std::thread m_reporter;
};

/// A loopback network that is free: returns its first three numbers, for instance "127.81.7".
std::string freeNetwork();
std::string temporaryFolder();
std::string pattern(std::size_t bytes);

} // namespace review
