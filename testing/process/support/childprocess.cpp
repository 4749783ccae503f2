#include "support/childprocess.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace Pimentohollow::Testing
{

namespace
{

pid_t spawn(const std::string &path, const std::vector<std::string> &arguments, int logFd)
{
    std::vector<std::string> owned{ path };
    owned.insert(owned.end(), arguments.begin(), arguments.end());
    std::vector<char *> argv;
    argv.reserve(owned.size() + 1);
    for (auto &it : owned) {
        argv.push_back(it.data());
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, logFd, STDERR_FILENO);
    pid_t pid = 0;
    const int rc = posix_spawn(&pid, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (rc != 0) {
        throw std::runtime_error("can't start " + path);
    }
    return pid;
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments)
{
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("no pipe");
    }
    m_logFd = ends[0];
    m_pid = spawn(std::string(PIMENTOHOLLOW_PROGRAMS) + "/" + program, arguments, ends[1]);
    ::close(ends[1]);
    m_reader = std::thread([this] {
        readLog();
    });
}

ChildProcess::~ChildProcess()
{
    if (!m_reaped) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
    m_reader.join();
    ::close(m_logFd);
}

int ChildProcess::port(const std::string &listener)
{
    constexpr auto Limit = std::chrono::seconds(20);
    const std::string marker = "listener=" + listener + " port=";
    std::unique_lock lock(m_mutex);
    std::size_t found = std::string::npos;
    m_changed.wait_for(lock, Limit, [&] {
        found = m_log.find(marker);
        return (found != std::string::npos && m_log.find('\n', found) != std::string::npos) || m_logEnded;
    });
    if (found == std::string::npos) {
        throw std::runtime_error("no port of " + listener + " in the log:\n" + m_log);
    }
    return std::stoi(m_log.substr(found + marker.size()));
}

void ChildProcess::signal(int number) const
{
    ::kill(m_pid, number);
}

std::optional<int> ChildProcess::wait(std::chrono::milliseconds limit)
{
    constexpr auto Step = std::chrono::milliseconds(10);
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!m_reaped) {
        if (::waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
            m_reaped = true;
        } else if (std::chrono::steady_clock::now() >= deadline) {
            return std::nullopt;
        } else {
            std::this_thread::sleep_for(Step);
        }
    }
    return WIFEXITED(m_status) ? WEXITSTATUS(m_status) : -WTERMSIG(m_status);
}

std::string ChildProcess::log() const
{
    const std::lock_guard lock(m_mutex);
    return m_log;
}

pid_t ChildProcess::pid() const
{
    return m_pid;
}

void ChildProcess::readLog()
{
    std::array<char, 4096> bytes{};
    while (true) {
        const auto count = ::read(m_logFd, bytes.data(), bytes.size());
        const std::lock_guard lock(m_mutex);
        if (count <= 0) {
            m_logEnded = true;
            m_changed.notify_all();
            return;
        }
        m_log.append(bytes.data(), static_cast<std::size_t>(count));
        m_changed.notify_all();
    }
}

} // namespace Pimentohollow::Testing
