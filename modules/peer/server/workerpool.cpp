#include "peer/server/workerpool.h"

#include "core/logger.h"

#include <exception>

namespace Pimentohollow
{

namespace
{

constexpr int StackBytes = 128 * 1024;
const Logger Log("peer.workers");

} // namespace

WorkerPool::WorkerPool(std::size_t maximumThreads)
    : m_maximumThreads(maximumThreads)
    , m_jobs(maximumThreads)
{
}

WorkerPool::~WorkerPool()
{
    m_jobs.close();
    for (auto &it : m_threads) {
        it.join();
    }
}

bool WorkerPool::run(std::function<void()> job)
{
    const std::lock_guard lock(m_mutex);
    if (m_free > 0) {
        --m_free;
    } else if (m_threads.size() < m_maximumThreads) {
        auto &thread = m_threads.emplace_back();
        thread.setStackSize(StackBytes);
        thread.startFunc([this] {
            work();
        });
    } else {
        return false;
    }
    return m_jobs.post(std::move(job));
}

void WorkerPool::work()
{
    while (auto job = m_jobs.take()) {
        try {
            (*job)();
        } catch (const std::exception &ex) {
            Log.error("job_failed", { { "error", ex.what() } });
        }
        job.reset();
        const std::lock_guard lock(m_mutex);
        ++m_free;
    }
}

} // namespace Pimentohollow
