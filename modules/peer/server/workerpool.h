#pragma once

#include "core/mailbox.h"

#include <cstddef>
#include <functional>
#include <list>
#include <mutex>
#include <Poco/Thread.h>

namespace Pimentohollow
{

/** Runs jobs on threads with small stacks; starts a thread when none is free, up to a bound. */
class WorkerPool
{
public:
    explicit WorkerPool(std::size_t maximumThreads);

    /** Finishes the accepted jobs. */
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /** Runs @p job soon; false if all threads are busy. */
    bool run(std::function<void()> job);

private:
    void work();

    std::size_t m_maximumThreads;
    Mailbox<std::function<void()>> m_jobs;
    std::mutex m_mutex;
    /** Threads without a job, less the jobs that wait for one. */
    std::size_t m_free = 0;
    std::list<Poco::Thread> m_threads;
};

} // namespace Pimentohollow
