// Each case returns 1 if the rule was broken, 0 if it held, 2 if the case could not run.
#pragma once

#include "fleet.h"

#include <set>

namespace review {

int runLargeBodies(Record &record, bool trouble);
int runLateReport(Record &record, bool trouble);
int runStalledLog(Record &record, bool trouble);

inline constexpr const char *Host = "hulo84.example";
inline constexpr const char *Key = "6wsjnbanfqasnmgkcuyj";
inline constexpr double ContactSeconds = 3; // contact_s
inline constexpr int MaxBodyBytes = 67108864; // max_body_bytes of the desired state

/// Starts a store with one desired state, and the nodes of one zone on a free loopback network. The routes /read/
/// (idempotent) and /file/ (non_idempotent) go to the service of the last node.
struct Fleet {
    Fleet(Record &fleetRecord, const std::vector<std::string> &services, bool collectOutput = false);
    ~Fleet();
    bool waitReady(double seconds);

    Record &record;
    std::string network;
    std::string folder;
    std::unique_ptr<Store> store;
    std::vector<std::unique_ptr<Node>> nodes;
};

/// The ids of the requests that instances have run.
class Runs
{
public:
    void add(const std::string &id);
    bool contains(const std::string &id);

private:
    std::mutex m_mutex;
    std::set<std::string> m_ids;
};

/// Kills the processes that exceed the memory of their machine, as the platform does.
class MemoryLimit
{
public:
    explicit MemoryLimit(Fleet &fleet);
    ~MemoryLimit();
    void stop();
    double endedAt(std::size_t node) const; // 0 while it runs
    std::size_t peak(std::size_t node) const;
    std::size_t ended() const;

private:
    void watch();
    Fleet &m_fleet;
    std::vector<std::atomic<double>> m_endedAt;
    std::vector<std::atomic<std::size_t>> m_peak;
    std::atomic<bool> m_watching{true};
    std::thread m_thread;
};

/// Clients of one node that keep their connections: each sends a request as soon as the last one is answered, until a
/// connection ends without an answer.
class KeptClients
{
public:
    KeptClients(Fleet &fleet, std::size_t node, int count, Runs &runs);
    ~KeptClients();
    void stop();
    int answered() const
    {
        return m_answered;
    }
    /// Requests from kept connections that an instance ran and whose connection ended without an answer.
    int lost() const
    {
        return m_lost;
    }

private:
    void send(int client);
    Fleet &m_fleet;
    std::size_t m_node;
    Runs &m_runs;
    std::atomic<bool> m_sending{true};
    std::atomic<int> m_answered{0};
    std::atomic<int> m_lost{0};
    std::vector<std::thread> m_threads;
};

} // namespace review
