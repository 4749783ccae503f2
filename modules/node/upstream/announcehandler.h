#pragma once

#include "http/server/requesthandler.h"
#include "node/upstream/announcedupstream.h"

#include <functional>

namespace Pimentohollow
{

/**
 * Answers "PUT /v1/upstream" on the announce listener.
 * Body: {"service": "...", "address": "ip:port", "state": "starting|ready|draining|gone", "incarnation": n}.
 */
class AnnounceHandler : public RequestHandler
{
public:
    /** @param onRestart called when another process of the upstream announces itself */
    AnnounceHandler(AnnouncedUpstream &upstream, std::function<void()> onRestart);

    HttpResponseMessage handle(HttpRequestMessage request, Cancellation &cancellation) override;

private:
    AnnouncedUpstream &m_upstream;
    std::function<void()> m_onRestart;
};

Result<Announcement> parseAnnouncement(const std::string &json);

} // namespace Pimentohollow
