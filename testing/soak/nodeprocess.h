#pragma once

#include <string>
#include <sys/types.h>

namespace Pimentohollow::Soak
{

/** A node as a separate process. Its destructor ends exactly this process, by its id. */
class NodeProcess
{
public:
    /** @param logFile gets the output of the process, after what it holds already; throws if the program can't be started */
    NodeProcess(const std::string &settingsFile, const std::string &logFile);
    ~NodeProcess();
    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    void signal(int number) const;
    /** True once the process has ended. */
    bool ended();

    /** Exit status, or the negative number of the signal that ended the process. */
    int status() const
    {
        return m_status;
    }

private:
    pid_t m_pid = 0;
    bool m_reaped = false;
    int m_status = 0;
};

} // namespace Pimentohollow::Soak
