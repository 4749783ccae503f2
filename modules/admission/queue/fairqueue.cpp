#include "admission/queue/fairqueue.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Pimentohollow
{

namespace
{

const AccountName SharedAccount;

} // namespace

FairQueue::FairQueue(FairQueueSettings settings)
    : m_settings(settings)
{
}

void FairQueue::setWeight(const AccountName &account, double weight)
{
    assert(weight > 0);
    m_weights[account] = weight;
    for (auto &it : m_levels) {
        if (auto *queue = find(it, account)) {
            queue->weight = weight;
        }
    }
}

void FairQueue::push(const QueuedRequest &request)
{
    assert(!m_locations.contains(request.ticket));
    const Priority priority = levelOf(request.priority);
    Level &target = level(priority);
    AccountQueue &queue = activate(target, keyOf(request.account));
    const auto it = queue.requests.insert(queue.requests.end(), Waiting{ request });
    m_locations.emplace(request.ticket, Location{ priority, queue.account, false, it, request.latestStart });
    m_expiries.emplace(request.latestStart, request.ticket);
    ++target.size;
}

void FairQueue::pushFront(const QueuedRequest &request)
{
    assert(!m_locations.contains(request.ticket));
    const Priority priority = levelOf(request.priority);
    Level &target = level(priority);
    const auto it = target.front.insert(target.front.end(), Waiting{ request, false });
    m_locations.emplace(request.ticket, Location{ priority, request.account, true, it, request.latestStart });
    m_expiries.emplace(request.latestStart, request.ticket);
    ++target.size;
}

std::optional<AdmissionTicket> FairQueue::pop()
{
    for (auto it = m_levels.rbegin(); it != m_levels.rend(); ++it) {
        if (it->size == 0) {
            continue;
        }
        if (!it->front.empty()) {
            const AdmissionTicket ticket = it->front.front().request.ticket;
            remove(ticket);
            return ticket;
        }
        const auto next = std::min_element(it->active.begin(), it->active.end(), [](const auto &a, const auto &b) {
            return a.startTag < b.startTag;
        });
        const AdmissionTicket ticket = next->requests.front().request.ticket;
        it->virtualTime = next->startTag;
        next->startTag += 1.0 / next->weight;
        remove(ticket);
        return ticket;
    }
    return std::nullopt;
}

bool FairQueue::remove(AdmissionTicket ticket)
{
    const auto found = m_locations.find(ticket);
    if (found == m_locations.end()) {
        return false;
    }
    const Location location = found->second;
    m_locations.erase(found);
    m_expiries.erase({ location.latestStart, ticket });
    Level &source = level(location.priority);
    --source.size;
    if (location.front) {
        source.front.erase(location.it);
        return true;
    }
    find(source, location.account)->requests.erase(location.it);
    deactivateIfEmpty(source, location.account);
    return true;
}

std::optional<AdmissionTicket> FairQueue::displaceFor(const AccountName &account, Priority priority)
{
    const Priority arriving = levelOf(priority);
    if (arriving == Priority::Important) {
        if (auto *queue = heaviest(level(Priority::Normal))) {
            return takeNewest(*queue);
        }
    }
    AccountQueue *const queue = heaviest(level(arriving));
    if (queue == nullptr) {
        return std::nullopt;
    }
    const AccountName &key = keyOf(account);
    const auto *own = find(level(arriving), key);
    const double ownLoad = (own == nullptr ? 1.0 : static_cast<double>(own->requests.size()) + 1.0) / weight(key);
    const double heaviestLoad = static_cast<double>(queue->requests.size()) / queue->weight;
    if (queue->account == key || heaviestLoad <= ownLoad) {
        return std::nullopt;
    }
    return takeNewest(*queue);
}

std::vector<QueuedRequest> FairQueue::takeExpired(TimePoint now)
{
    std::vector<QueuedRequest> expired;
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        const AdmissionTicket ticket = m_expiries.begin()->second;
        expired.push_back(m_locations.at(ticket).it->request);
        remove(ticket);
    }
    return expired;
}

std::vector<AdmissionTicket> FairQueue::takeAll(Priority priority)
{
    std::vector<AdmissionTicket> tickets;
    for (const auto &queue : level(levelOf(priority)).active) {
        for (const auto &it : queue.requests) {
            tickets.push_back(it.request.ticket);
        }
    }
    for (const AdmissionTicket it : tickets) {
        remove(it);
    }
    return tickets;
}

std::optional<TimePoint> FairQueue::nextExpiry() const
{
    if (m_expiries.empty()) {
        return std::nullopt;
    }
    return m_expiries.begin()->first;
}

std::size_t FairQueue::size() const
{
    return m_locations.size();
}

std::size_t FairQueue::size(Priority priority) const
{
    return level(levelOf(priority)).size;
}

std::size_t FairQueue::position(const AccountName &account, Priority priority) const
{
    const Level &own = level(levelOf(priority));
    std::size_t ahead = own.front.size();
    if (levelOf(priority) == Priority::Normal) {
        ahead += level(Priority::Important).size;
    }
    const AccountName &key = keyOf(account);
    const auto *mine = find(own, key);
    const double round = (mine == nullptr ? 1.0 : static_cast<double>(mine->requests.size()) + 1.0) / weight(key);
    for (const auto &it : own.active) {
        const auto waiting = static_cast<double>(it.requests.size());
        ahead += static_cast<std::size_t>(it.account == key ? waiting : std::min(waiting, std::ceil(round * it.weight)));
    }
    return ahead;
}

const AccountName &FairQueue::keyOf(const AccountName &account) const
{
    return m_settings.fairShares ? account : SharedAccount;
}

Priority FairQueue::levelOf(Priority priority) const
{
    return m_settings.priorities ? priority : Priority::Normal;
}

FairQueue::Level &FairQueue::level(Priority priority)
{
    return m_levels[static_cast<std::size_t>(priority)];
}

const FairQueue::Level &FairQueue::level(Priority priority) const
{
    return m_levels[static_cast<std::size_t>(priority)];
}

double FairQueue::weight(const AccountName &account) const
{
    const auto found = m_weights.find(account);
    return found == m_weights.end() ? 1.0 : found->second;
}

FairQueue::AccountQueue &FairQueue::activate(Level &level, const AccountName &account)
{
    if (auto *queue = find(level, account)) {
        return *queue;
    }
    if (level.active.empty()) {
        // Without any backlog everyone starts equal again.
        level.idleTags.clear();
        level.virtualTime = 0;
    }
    AccountQueue &queue = level.active.emplace_back();
    queue.account = account;
    queue.weight = weight(account);
    queue.startTag = level.virtualTime;
    if (const auto idle = level.idleTags.find(account); idle != level.idleTags.end()) {
        queue.startTag = std::max(queue.startTag, idle->second);
        level.idleTags.erase(idle);
    }
    return queue;
}

void FairQueue::deactivateIfEmpty(Level &level, const AccountName &account)
{
    AccountQueue *const queue = find(level, account);
    if (!queue->requests.empty()) {
        return;
    }
    level.idleTags[account] = queue->startTag;
    if (queue != &level.active.back()) {
        std::swap(*queue, level.active.back());
    }
    level.active.pop_back();
}

FairQueue::AccountQueue *FairQueue::find(Level &level, const AccountName &account)
{
    return const_cast<AccountQueue *>(find(std::as_const(level), account));
}

const FairQueue::AccountQueue *FairQueue::find(const Level &level, const AccountName &account)
{
    const auto found = std::find_if(level.active.begin(), level.active.end(), [&](const auto &it) {
        return it.account == account;
    });
    return found == level.active.end() ? nullptr : &*found;
}

FairQueue::AccountQueue *FairQueue::heaviest(Level &level)
{
    const auto found = std::max_element(level.active.begin(), level.active.end(), [](const auto &a, const auto &b) {
        return static_cast<double>(a.requests.size()) / a.weight < static_cast<double>(b.requests.size()) / b.weight;
    });
    return found == level.active.end() ? nullptr : &*found;
}

AdmissionTicket FairQueue::takeNewest(AccountQueue &queue)
{
    const AdmissionTicket ticket = queue.requests.back().request.ticket;
    remove(ticket);
    return ticket;
}

} // namespace Pimentohollow
