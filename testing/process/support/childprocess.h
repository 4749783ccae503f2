#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace Pimentohollow::Testing
{

/** A program started by a test. Its destructor ends exactly this process, by its id. */
class ChildProcess
{
public:
    /** @param program file name in the build's program folder */
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /** The port that the program reported for a listener; throws after 20 s. */
    int port(const std::string &listener);

    void signal(int number) const;

    /** Waits for the end of the process; its exit status, or nothing after @p limit. */
    std::optional<int> wait(std::chrono::milliseconds limit);

    /** Everything written to standard error so far. */
    std::string log() const;

    pid_t pid() const;

private:
    void readLog();

    pid_t m_pid = 0;
    int m_logFd = -1;
    bool m_reaped = false;
    int m_status = 0;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_log;
    bool m_logEnded = false;
    std::thread m_reader;
};

} // namespace Pimentohollow::Testing
