#include "standinstate.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>

namespace Pimentohollow::Testing
{

StandinBehaviour StandinState::behaviour() const
{
    const std::lock_guard lock(m_mutex);
    return m_behaviour;
}

bool StandinState::change(const std::string &name, const std::string &value)
{
    const std::map<std::string, std::function<void()>> settings{
        { "slots",
          [&] {
              m_behaviour.slots = std::stoi(value);
          } },
        { "maximum_waiting",
          [&] {
              m_behaviour.maximumWaiting = std::stoi(value);
          } },
        { "service_us",
          [&] {
              m_behaviour.serviceTime = std::chrono::microseconds(std::stoll(value));
          } },
        { "cold_ms",
          [&] {
              m_behaviour.coldTime = std::chrono::milliseconds(std::stoll(value));
          } },
        { "cold_factor",
          [&] {
              m_behaviour.coldFactor = std::stoi(value);
          } },
        { "truncate",
          [&] {
              m_behaviour.truncate = value == "1";
          } },
        { "silent",
          [&] {
              m_behaviour.silent = value == "1";
          } },
        { "shed_all",
          [&] {
              m_behaviour.shedAll = value == "1";
          } },
        { "healthy",
          [&] {
              m_behaviour.healthy = value == "1";
          } },
        { "state",
          [&] {
              m_behaviour.announcedState = value;
          } },
    };
    const auto it = settings.find(name);
    if (it == settings.end()) {
        return false;
    }
    const std::lock_guard lock(m_mutex);
    it->second();
    m_changed.notify_all();
    return true;
}

bool StandinState::enter()
{
    std::unique_lock lock(m_mutex);
    if (m_behaviour.shedAll || (m_running >= m_behaviour.slots && m_waiting >= m_behaviour.maximumWaiting)) {
        return false;
    }
    ++m_waiting;
    m_changed.wait(lock, [this] {
        return m_running < m_behaviour.slots;
    });
    --m_waiting;
    ++m_running;
    m_highest = std::max(m_highest, m_running);
    return true;
}

void StandinState::leave()
{
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
    }
    m_changed.notify_one();
}

void StandinState::countRun(const std::string &id, const std::string &head)
{
    const std::lock_guard lock(m_mutex);
    ++m_total;
    if (!id.empty()) {
        ++m_seen[id].runs;
        m_seen[id].head = head;
    }
}

void StandinState::countCancelled()
{
    const std::lock_guard lock(m_mutex);
    ++m_cancelled;
}

int StandinState::runs(const std::string &id) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_seen.find(id);
    return it == m_seen.end() ? 0 : it->second.runs;
}

std::string StandinState::lastHead(const std::string &id) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_seen.find(id);
    return it == m_seen.end() ? "" : it->second.head;
}

std::string StandinState::summary() const
{
    const std::lock_guard lock(m_mutex);
    return fmt::format(
        R"({{"total":{},"running":{},"waiting":{},"highest":{},"cancelled":{}}})", m_total, m_running, m_waiting, m_highest, m_cancelled);
}

std::chrono::microseconds StandinState::currentServiceTime() const
{
    const std::lock_guard lock(m_mutex);
    const bool cold = std::chrono::steady_clock::now() - m_start < m_behaviour.coldTime;
    return m_behaviour.serviceTime * (cold ? m_behaviour.coldFactor : 1);
}

} // namespace Pimentohollow::Testing
