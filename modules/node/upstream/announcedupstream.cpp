#include "node/upstream/announcedupstream.h"

#include <Poco/Exception.h>

namespace Pimentohollow
{

AnnouncedUpstream::AnnouncedUpstream(const Clock &clock, const UpstreamLimits &limits)
    : m_clock(clock)
    , m_limits(limits)
{
}

Result<bool> AnnouncedUpstream::announce(const Announcement &announcement)
{
    const std::lock_guard lock(m_mutex);
    const bool sameProcess =
        m_announcement && m_announcement->address == announcement.address && m_announcement->incarnation == announcement.incarnation;
    if (!sameProcess) {
        // A restarted upstream gets a new client, so that no connection to the old process is used.
        try {
            m_client = std::make_shared<UpstreamClient>(Poco::Net::SocketAddress(announcement.address), m_limits);
        } catch (const Poco::Exception &ex) {
            return failure(ErrorKind::InvalidInput, "upstream.announce", ex.displayText(), announcement.address);
        }
    }
    m_announcement = announcement;
    m_announcedAt = m_clock.now();
    return !sameProcess;
}

std::shared_ptr<UpstreamClient> AnnouncedUpstream::clientFor(const ServiceName &service) const
{
    const auto announcement = current();
    if (!announcement || announcement->service != service) {
        return nullptr;
    }
    const bool takesWork = announcement->state == UpstreamState::Ready || announcement->state == UpstreamState::Starting;
    const std::lock_guard lock(m_mutex);
    return takesWork ? m_client : nullptr;
}

std::optional<Announcement> AnnouncedUpstream::current() const
{
    const std::lock_guard lock(m_mutex);
    auto result = m_announcement;
    if (result && m_clock.now() - m_announcedAt > Expiry) {
        result->state = UpstreamState::Gone;
    }
    return result;
}

} // namespace Pimentohollow
