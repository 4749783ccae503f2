#include "platform.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <random>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review
{

namespace
{

constexpr Milliseconds HeartbeatInterval(1500);
/** A status report counts as acknowledged if the answer arrives within this time. */
constexpr Milliseconds ReportTimeout(1000);
constexpr int Success = 200;
constexpr const char *Program = "target/bin/pimentohollow";

/** One flat JSON object of the node's transactions: texts and numbers, as texts. */
using FlatObject = std::map<std::string, std::string>;

/** Reads the part of JSON that transactions use: an object of lists of flat objects. */
class TransactionReader
{
public:
    explicit TransactionReader(std::string_view text)
        : m_text(text)
    {
    }

    std::map<std::string, std::vector<FlatObject>> read()
    {
        std::map<std::string, std::vector<FlatObject>> result;
        expect('{');
        while (!accept('}')) {
            const std::string name = text();
            expect(':');
            expect('[');
            auto &list = result[name];
            while (!accept(']')) {
                list.push_back(object());
                accept(',');
            }
            accept(',');
        }
        return result;
    }

private:
    void skipSpace()
    {
        m_text.remove_prefix(std::min(m_text.find_first_not_of(" \t\r\n"), m_text.size()));
    }

    bool accept(char it)
    {
        skipSpace();
        const bool found = m_text.starts_with(it);
        m_text.remove_prefix(found ? 1 : 0);
        return found;
    }

    void expect(char it)
    {
        if (!accept(it)) {
            throw std::runtime_error(std::string("a transaction lacks ") + it);
        }
    }

    std::string text()
    {
        expect('"');
        std::string result;
        while (!m_text.starts_with('"')) {
            if (m_text.starts_with('\\')) {
                m_text.remove_prefix(1);
            }
            if (m_text.empty()) {
                throw std::runtime_error("a transaction has an open text");
            }
            result += m_text.front();
            m_text.remove_prefix(1);
        }
        m_text.remove_prefix(1);
        return result;
    }

    FlatObject object()
    {
        FlatObject result;
        expect('{');
        while (!accept('}')) {
            const std::string name = text();
            expect(':');
            skipSpace();
            if (m_text.starts_with('"')) {
                result[name] = text();
            } else {
                const auto end = std::min(m_text.find_first_of(",}"), m_text.size());
                result[name] = m_text.substr(0, end);
                m_text.remove_prefix(end);
            }
            accept(',');
        }
        return result;
    }

    std::string_view m_text;
};

std::string base64(const std::string &bytes)
{
    constexpr std::string_view Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr std::size_t Group = 3;
    std::string out;
    for (std::size_t n = 0; n < bytes.size(); n += Group) {
        unsigned bits = 0;
        const std::size_t count = std::min(Group, bytes.size() - n);
        for (std::size_t k = 0; k < Group; ++k) {
            bits = bits << 8U | (k < count ? static_cast<unsigned char>(bytes[n + k]) : 0U);
        }
        for (std::size_t k = 0; k <= Group; ++k) {
            out += k <= count ? Digits[bits >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return out;
}

std::string percentDecoded(std::string_view text)
{
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] == '%' && n + 2 < text.size()) {
            unsigned code = 0;
            std::from_chars(text.data() + n + 1, text.data() + n + 3, code, 16);
            out += static_cast<char>(code);
            n += 2;
        } else {
            out += text[n];
        }
    }
    return out;
}

std::map<std::string, std::string> queryOf(std::string_view target)
{
    std::map<std::string, std::string> query;
    const auto start = target.find('?');
    std::string_view rest = start == std::string_view::npos ? std::string_view() : target.substr(start + 1);
    while (!rest.empty()) {
        const auto parameter = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(parameter.size() + 1, rest.size()));
        const auto equals = parameter.find('=');
        if (equals != std::string_view::npos) {
            query[std::string(parameter.substr(0, equals))] = percentDecoded(parameter.substr(equals + 1));
        }
    }
    return query;
}

std::uint64_t numberOf(const std::string &text)
{
    std::uint64_t result = 0;
    std::from_chars(text.data(), text.data() + text.size(), result);
    return result;
}

std::string jsonText(const std::string &text)
{
    return '"' + text + '"';
}

std::string rowJson(const std::string &table, const std::string &key, const std::string &value, std::uint64_t version, bool removed)
{
    const std::string state = removed ? R"("removed":true)" : R"("value":)" + jsonText(value);
    return R"({"table":)" + jsonText(table) + R"(,"part":"","key":)" + jsonText(key) + ',' + state + R"(,"ver":)" + std::to_string(version)
        + '}';
}

} // namespace

Record::Record(const std::string &path)
    : m_out(path)
{
}

void Record::add(const std::string &line)
{
    const auto at = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_startedAt).count();
    const std::lock_guard lock(m_mutex);
    m_out << at << " ms " << line << std::endl;
}

Store::Store(int port)
    : m_server(port, [this](Connection &connection) {
        serve(connection);
    })
{
}

Store::~Store()
{
    {
        const std::lock_guard lock(m_mutex);
        m_closed = true;
    }
    m_changed.notify_all();
    m_server.close();
}

void Store::putConfiguration(const std::string &json)
{
    const std::lock_guard lock(m_mutex);
    ++m_version;
    put("op", "config", base64(json));
    m_changed.notify_all();
}

std::size_t Store::rowCount(const std::string &table)
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(std::count_if(m_rows.begin(), m_rows.end(), [&table](const auto &it) {
        return it.first.first == table;
    }));
}

void Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    m_rows[{ table, key }] = { value, m_version };
    m_changes.push_back({ m_version, table, key, value, false });
}

void Store::serve(Connection &connection)
{
    while (const auto request = connection.readMessage(TimePoint::max())) {
        if (!request->complete || !connection.send(answer(*request))) {
            return;
        }
    }
}

std::string Store::answer(const HttpMessage &request)
{
    const std::string target = request.word(1);
    const auto query = queryOf(target);
    if (target.starts_with("/rows-get")) {
        return read(query);
    }
    if (target.starts_with("/rows-feed")) {
        return feed(query);
    }
    if (target == "/rows-tx") {
        return transact(request.body);
    }
    return serialize("HTTP/1.1 404 Not Found", {}, "");
}

std::string Store::withState(const std::string &fields) const
{
    const auto now = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_startedAt).count();
    return '{' + fields + R"("ver":)" + std::to_string(m_version) + R"(,"now":")" + std::to_string(now) + R"(ms"})";
}

std::string Store::read(const std::map<std::string, std::string> &query)
{
    const std::lock_guard lock(m_mutex);
    const auto value = [&query](const std::string &name) {
        const auto found = query.find(name);
        return found == query.end() ? std::string() : found->second;
    };
    std::string rows;
    for (const auto &[id, row] : m_rows) {
        const auto &[table, key] = id;
        if (table == value("table") && key >= value("from") && (value("to").empty() || key < value("to"))) {
            rows += (rows.empty() ? "" : ",") + rowJson(table, key, row.value, row.version, false);
        }
    }
    return serialize(
        "HTTP/1.1 200 OK", { { "Content-Type", "application/json" } }, withState(R"("rows":[)" + rows + R"(],"hasMore":false,)"));
}

std::string Store::feed(const std::map<std::string, std::string> &query)
{
    const std::string table = query.at("table");
    const std::uint64_t after = numberOf(query.at("after"));
    const TimePoint deadline = Clock::now() + Milliseconds(numberOf(query.at("waitMs")));
    std::unique_lock lock(m_mutex);
    std::string rows;
    const auto collect = [&] {
        for (const auto &it : m_changes) {
            if (it.table == table && it.version > after) {
                rows += (rows.empty() ? "" : ",") + rowJson(it.table, it.key, it.value, it.version, it.removed);
            }
        }
        return m_closed || !rows.empty();
    };
    m_changed.wait_until(lock, deadline, collect);
    return serialize("HTTP/1.1 200 OK", { { "Content-Type", "application/json" } }, withState(R"("rows":[)" + rows + "],"));
}

std::string Store::transact(const std::string &body)
{
    auto lists = TransactionReader(body).read();
    const std::lock_guard lock(m_mutex);
    for (const auto &it : lists["expectedRev"]) {
        const auto found = m_rows.find({ it.at("table"), it.at("key") });
        if ((found == m_rows.end() ? 0 : found->second.version) != numberOf(it.at("ver"))) {
            return serialize("HTTP/1.1 412 Precondition Failed", { { "Content-Type", "application/json" } }, withState(R"("rows":[],)"));
        }
    }
    ++m_version;
    for (const auto &it : lists["puts"]) {
        put(it.at("table"), it.at("key"), it.at("value"));
    }
    for (const auto &it : lists["remove"]) {
        m_rows.erase({ it.at("table"), it.at("key") });
        m_changes.push_back({ m_version, it.at("table"), it.at("key"), "", true });
    }
    m_changed.notify_all();
    return serialize("HTTP/1.1 200 OK", { { "Content-Type", "application/json" } }, withState(""));
}

Target::Target(Setup setup, Behaviour behaviour)
    : m_setup(std::move(setup))
    , m_behaviour(std::move(behaviour))
    , m_born(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , m_server(m_setup.port, [this](Connection &connection) {
        serve(connection);
    })
{
}

Target::~Target()
{
    close();
}

void Target::close()
{
    stopReports();
    m_server.close();
}

void Target::startReports()
{
    m_reporting = true;
    m_reporter = std::thread([this] {
        TimePoint next = Clock::now();
        while (m_reporting) {
            if (Clock::now() < next) {
                std::this_thread::sleep_for(Milliseconds(10));
                continue;
            }
            next = Clock::now() + HeartbeatInterval;
            report(nextSequence());
        }
    });
}

void Target::stopReports()
{
    m_reporting = false;
    if (m_reporter.joinable()) {
        m_reporter.join();
    }
}

int Target::report(std::uint64_t sequence, const std::string &state)
{
    const std::string body = R"({"service":)" + jsonText(m_setup.service) + R"(,"address":"127.0.0.1:)" + std::to_string(m_setup.port)
        + R"(","zone":)" + jsonText(m_setup.zone) + R"(,"version":"v1","slots":)" + std::to_string(m_setup.slots) + R"(,"state":)"
        + jsonText(state) + R"(,"coldLeft":"0ms","sequence":)" + std::to_string(sequence) + R"(,"born":)" + std::to_string(m_born) + '}';
    const auto answer = exchange(m_setup.controlPort,
                                 "POST /instances/" + m_setup.id + "/heartbeat HTTP/1.1",
                                 { { "Host", "control" }, { "Content-Type", "application/json" } },
                                 body,
                                 ReportTimeout);
    return answer ? answer->status() : 0;
}

int Target::deregister()
{
    const std::string body = R"({"sequence":)" + std::to_string(nextSequence()) + R"(,"born":)" + std::to_string(m_born) + '}';
    const auto answer = exchange(m_setup.controlPort,
                                 "POST /instances/" + m_setup.id + "/deregister HTTP/1.1",
                                 { { "Host", "control" }, { "Content-Type", "application/json" } },
                                 body,
                                 ReportTimeout);
    return answer ? answer->status() : 0;
}

Headers Target::answerHeaders(const HttpMessage &request) const
{
    return { { "X-Request-Id", request.header("X-Request-Id") }, { "X-Server-Stamp", "stamp." + m_setup.id } };
}

void Target::serve(Connection &connection)
{
    while (auto request = connection.readHead(TimePoint::max())) {
        const std::string expected = request->header("X-Expect-Instance");
        if (!expected.empty() && expected != m_setup.id) {
            connection.readBody(*request, TimePoint::max());
            if (!connection.send(serialize("HTTP/1.1 421 Misdirected Request", { { "X-Instance-Id", m_setup.id } }, ""))) {
                return;
            }
            continue;
        }
        if (!m_behaviour(connection, *request)) {
            return;
        }
    }
}

Node::Node(Setup setup, const std::string &folder)
    : m_setup(std::move(setup))
    , m_settingsFile(folder + '/' + m_setup.name + ".yaml")
    , m_outputFile(folder + '/' + m_setup.name + ".log")
{
    const auto address = [](int port) {
        return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    // What deploy/node.yaml.template gives for a machine of a small deployment.
    std::ofstream out(m_settingsFile);
    out << "node: " << jsonText(m_setup.name) << "\ndata_centre: " << jsonText(m_setup.zone) << "\nservice: " << jsonText(m_setup.service)
        << "\nupstream: " << address(m_setup.upstreamPort) << "store: " << address(m_setup.storePort)
        << "announce_interval: \"1500ms\"\nmemory_mb: " << m_setup.memoryMegabytes
        << "\nlisteners:\n  callers: " << address(m_setup.callerPort) << "  peers: " << address(m_setup.peerPort)
        << "  announcements: " << address(m_setup.controlPort) << "  readiness: " << address(m_setup.readyPort)
        << "  metrics: " << address(m_setup.metricsPort)
        << R"(bounds: ["seedLag=3s", "reuseAfter=2s", "stable=3000ms", "ack=4000ms", "catchUp=4s", "drain=2000ms", "grace=6s", )"
        << R"("lossSlack=200ms", "configDeadline=2000ms", "rollbackSlack=250ms", "maxSkew=5000ms", "strictRevoke=false", "revoke=5000ms", )"
        << R"("budgetRatio=0.2", "budgetWindow=10s", "budgetSlack=50", "quotaWindow=5s", "quotaOver=0.1", "quotaSlack=20", "recovery=15s"])"
        << '\n';
}

Node::~Node()
{
    kill();
}

void Node::start()
{
    const std::string argument = "--platform=" + m_settingsFile;
    const int out = ::open(m_outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    const pid_t parent = ::getpid();
    m_pid = ::fork();
    if (m_pid == 0) {
        // The node ends with this process, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) {
            ::_exit(1);
        }
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::execl(Program, Program, argument.c_str(), nullptr);
        ::_exit(1);
    }
    ::close(out);
    if (m_pid < 0) {
        throw std::runtime_error("can't start a process");
    }
}

void Node::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void Node::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
}

bool Node::isRunning()
{
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = 0;
    }
    return m_pid > 0;
}

int Node::readiness(Milliseconds timeout) const
{
    const auto answer = exchange(m_setup.readyPort, "GET /readyz HTTP/1.1", { { "Host", "ready" } }, "", timeout);
    return answer ? answer->status() : 0;
}

std::size_t Node::residentBytes() const
{
    std::ifstream in("/proc/" + std::to_string(m_pid) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    in >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

TemporaryFolder::TemporaryFolder()
{
    std::string pattern = std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("can't make a temporary folder");
    }
    m_path = pattern;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ec;
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_path, ec);
    }
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

std::string newRequestId()
{
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device{}());
    const std::lock_guard lock(mutex);
    std::array<char, 17> text{};
    (void)std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(random()));
    return text.data();
}

bool awaitReady(const std::vector<std::unique_ptr<Node>> &nodes, Milliseconds timeout)
{
    const TimePoint deadline = Clock::now() + timeout;
    while (Clock::now() < deadline) {
        if (std::all_of(nodes.begin(), nodes.end(), [](const auto &it) {
                return it->readiness() == Success;
            })) {
            return true;
        }
        std::this_thread::sleep_for(Milliseconds(100));
    }
    return false;
}

int runCase(const std::function<Verdict(Record &, const std::string &folder)> &body)
{
    std::signal(SIGPIPE, SIG_IGN);
    const char *path = std::getenv("RECORD");
    Record record(path == nullptr ? "record.txt" : path);
    try {
        const TemporaryFolder folder;
        record.add(hasTrouble() ? "with the disruption" : "without the disruption");
        const Verdict verdict = body(record, folder.path());
        if (std::getenv("KEEP_LOGS") != nullptr) {
            std::cerr << "output of the nodes: " << folder.path() << '\n';
        }
        return static_cast<int>(verdict);
    } catch (const std::exception &exception) {
        record.add(std::string("could not run: ") + exception.what());
        return static_cast<int>(Verdict::NotRun);
    }
}

} // namespace Review
