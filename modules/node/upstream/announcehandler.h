#pragma once

#include "http/server/requesthandler.h"
#include "node/upstream/localupstream.h"

namespace Pimentohollow
{

/**
 * Answers "PUT /v1/upstream" on the announce listener.
 * Body: {"service": "...", "address": "ip:port", "state": "starting|ready|draining|gone", "incarnation": n}.
 */
class AnnounceHandler : public RequestHandler
{
public:
    explicit AnnounceHandler(LocalUpstream &upstream);

    HttpResponseMessage handle(HttpRequestMessage request, Cancellation &cancellation) override;

private:
    LocalUpstream &m_upstream;
};

Result<Announcement> parseAnnouncement(const std::string &json);

} // namespace Pimentohollow
