#include "nodeprocess.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace Pimentohollow::Soak
{

NodeProcess::NodeProcess(const std::string &settingsFile, const std::string &logFile)
{
    std::string path = std::string(PIMENTOHOLLOW_PROGRAMS) + "/pimentohollow";
    std::string argument = "--platform=" + settingsFile;
    std::array<char *, 3> argv{ path.data(), argument.data(), nullptr };
    constexpr mode_t Mode = 0644;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, Mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int rc = posix_spawn(&m_pid, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (rc != 0) {
        throw std::runtime_error("can't start " + path);
    }
}

NodeProcess::~NodeProcess()
{
    if (!m_reaped) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

void NodeProcess::signal(int number) const
{
    if (!m_reaped) {
        ::kill(m_pid, number);
    }
}

bool NodeProcess::ended()
{
    int status = 0;
    if (!m_reaped && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_reaped = true;
        m_status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    return m_reaped;
}

} // namespace Pimentohollow::Soak
