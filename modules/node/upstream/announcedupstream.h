#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/upstreamrecord.h"
#include "http/upstream/upstreamclient.h"

#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace Pimentohollow
{

/** What an upstream says about itself once per second. */
struct Announcement {
    ServiceName service;
    /** Where it accepts requests, "ip:port". */
    std::string address;
    UpstreamState state = UpstreamState::Ready;
    /** Changes when the upstream process restarts. */
    std::uint64_t incarnation = 0;
};

/** The upstream beside this node, as far as it announced itself lately. Thread-safe. */
class AnnouncedUpstream
{
public:
    /** Silence after which an upstream counts as gone. */
    static constexpr Duration Expiry = std::chrono::seconds(3);

    AnnouncedUpstream(const Clock &clock, const UpstreamLimits &limits);

    /** @return whether the announcement comes from another process than the last one */
    Result<bool> announce(const Announcement &announcement);

    /** The client for new work of @p service; nothing if no such upstream takes new work. */
    std::shared_ptr<UpstreamClient> clientFor(const ServiceName &service) const;

    /** The last announcement, with the state Gone once it expired; nothing if there was none. */
    std::optional<Announcement> current() const;

private:
    const Clock &m_clock;
    UpstreamLimits m_limits;
    mutable std::mutex m_mutex;
    std::optional<Announcement> m_announcement;
    TimePoint m_announcedAt{};
    std::shared_ptr<UpstreamClient> m_client;
};

} // namespace Pimentohollow
