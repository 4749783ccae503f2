#pragma once

#include "storage/http/platformclient.h"
#include "storage/interfaces/objectstore.h"

namespace Pimentohollow
{

/** ObjectStore over the published S3 REST protocol (GET, PUT, DELETE) with the bucket in the path. */
class HttpObjectStore : public ObjectStore
{
public:
    HttpObjectStore(PlatformEndpoint endpoint, std::string bucket, const Clock &clock);

    Result<std::optional<std::string>> get(const std::string &key) override;
    Result<void> put(const std::string &key, const std::string &content) override;
    Result<void> remove(const std::string &key) override;

private:
    Result<PlatformAnswer>
    call(const std::string &step, const std::string &method, const std::string &key, const std::string &body, CallEffect effect);
    Error answerError(const std::string &step, const PlatformAnswer &answer, CallEffect effect) const;

    PlatformClient m_client;
    std::string m_bucket;
};

} // namespace Pimentohollow
