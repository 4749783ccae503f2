#pragma once

#include "net.h"

#include <condition_variable>
#include <fstream>
#include <sys/types.h>

/** Stand-ins for the platform, and the processes that a case starts. */
namespace Review
{

/** Writes record.txt: one line an event, with the milliseconds since the start. */
class Record
{
public:
    explicit Record(const std::string &path);

    void add(const std::string &line);

private:
    TimePoint m_startedAt = Clock::now();
    std::mutex m_mutex;
    std::ofstream m_out;
};

/** The platform's store: rows, feeds and transactions. */
class Store
{
public:
    explicit Store(int port);
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    /** Writes op/config as the operator does. */
    void putConfiguration(const std::string &json);
    /** Number of rows of a table. */
    std::size_t rowCount(const std::string &table);

private:
    struct Row {
        std::string value;
        std::uint64_t version = 0;
    };
    struct Change {
        std::uint64_t version = 0;
        std::string table;
        std::string key;
        std::string value;
        bool removed = false;
    };

    void serve(Connection &connection);
    std::string answer(const HttpMessage &request);
    std::string read(const std::map<std::string, std::string> &query);
    std::string feed(const std::map<std::string, std::string> &query);
    std::string transact(const std::string &body);
    /** Both expect that the mutex is held. */
    void put(const std::string &table, const std::string &key, const std::string &value);
    std::string withState(const std::string &fields) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_closed = false;
    std::map<std::pair<std::string, std::string>, Row> m_rows;
    std::vector<Change> m_changes;
    std::uint64_t m_version = 1;
    TimePoint m_startedAt = Clock::now();
    Server m_server;
};

/** One application target: its HTTP server and its status reports. */
class Target
{
public:
    struct Setup {
        std::string id;
        std::string service;
        std::string zone;
        int port = 0;
        /** Address of the node beside it for status reports. */
        int controlPort = 0;
        unsigned slots = 20;
    };
    /** Serves one request whose head has been read; returns false if the connection ends with it. */
    using Behaviour = std::function<bool(Connection &, HttpMessage &)>;

    Target(Setup setup, Behaviour behaviour);
    ~Target();
    Target(const Target &) = delete;
    Target &operator=(const Target &) = delete;

    const Setup &setup() const
    {
        return m_setup;
    }

    /** Starts sending a status report at each heartbeat interval. */
    void startReports();
    void stopReports();
    /** Sends one status report; returns the status of its answer, or 0. */
    int report(std::uint64_t sequence, const std::string &state = "ready");
    /** Sends the deregistration; returns the status of its answer, or 0. */
    int deregister();
    std::uint64_t nextSequence()
    {
        return ++m_sequence;
    }
    /** Ends the target as if its process was killed. */
    void close();

    /** The headers of an answer of this target to the request. */
    Headers answerHeaders(const HttpMessage &request) const;

private:
    void serve(Connection &connection);

    Setup m_setup;
    Behaviour m_behaviour;
    std::int64_t m_born;
    std::atomic<std::uint64_t> m_sequence{ 0 };
    std::atomic<bool> m_reporting{ false };
    std::thread m_reporter;
    Server m_server;
};

/** A node of the project as a separate process, started by the command of the deploy file. */
class Node
{
public:
    struct Setup {
        std::string name;
        std::string zone;
        std::string service;
        int storePort = 0;
        int upstreamPort = 0;
        int callerPort = 0;
        int controlPort = 0;
        int peerPort = 0;
        int readyPort = 0;
        int metricsPort = 0;
        unsigned memoryMegabytes = 260;
    };

    /** @param folder temporary folder for the settings file and the output */
    Node(Setup setup, const std::string &folder);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    const Setup &setup() const
    {
        return m_setup;
    }

    void start();
    void signal(int number) const;
    /** Ends the process with SIGKILL. */
    void kill();
    bool isRunning();
    /** Status of GET /readyz, or 0. */
    int readiness(Milliseconds timeout = Milliseconds(1000)) const;
    /** Resident memory in bytes; 0 if the process doesn't run. */
    std::size_t residentBytes() const;

private:
    Setup m_setup;
    std::string m_settingsFile;
    std::string m_outputFile;
    pid_t m_pid = 0;
};

/** A folder for temporary files; removed by the destructor. */
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

/** False if the environment variable TROUBLE is 0. */
bool hasTrouble();
/** Returns a new request id. */
std::string newRequestId();
/** Waits until all nodes are ready; false if that takes too long. */
bool awaitReady(const std::vector<std::unique_ptr<Node>> &nodes, Milliseconds timeout);

/** Exit codes of a case. */
enum class Verdict {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

/** Runs a case and turns its verdict, or an exception, into the exit code. */
int runCase(const std::function<Verdict(Record &, const std::string &folder)> &body);

} // namespace Review
