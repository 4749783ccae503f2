#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "storage/http/requestsigner.h"

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <Poco/Net/Context.h>
#include <Poco/Net/HTTPClientSession.h>
#include <string>
#include <vector>

namespace Pimentohollow
{

/** Where a platform service is and how requests to it are signed. */
struct PlatformEndpoint {
    /** "http://10.0.0.9:8000" or "https://..."; TLS is used for the latter. */
    std::string url;
    std::string region;
    std::string accessKeyId;
    std::string secretAccessKey;
    /** For one call, including the connection and a second attempt. */
    Duration timeout = std::chrono::seconds(1);
    /** PEM file of trusted certificates; empty means those of the operating system. */
    std::string authoritiesFile;
};

/** Whether a call can change something; decides how a failure after sending is reported. */
enum class CallEffect {
    Read,
    Write, ///< repeating the identical call has no further effect
};

struct PlatformCall {
    std::string step;
    std::string method;
    /** Encoded; without query. */
    std::string path = "/";
    SignedHeaders headers;
    std::string body;
    CallEffect effect = CallEffect::Read;
};

struct PlatformAnswer {
    int status = 0;
    std::string body;
};

/**
 * Sends signed calls to one platform service over reused connections. Thread-safe; a connection serves one call at a time.
 *
 * Errors: Unavailable if nothing can have been written: the connection failed before the whole call was sent. For a write
 * that was sent whole: Timeout without an answer in time, else OutcomeUnknown. A call that fails on a reused connection
 * is repeated once on a new one, because the service may have closed the old one meanwhile.
 */
class PlatformClient
{
public:
    /** @param service the name for signatures, "dynamodb" or "s3" */
    PlatformClient(PlatformEndpoint endpoint, const std::string &service, const Clock &clock);
    ~PlatformClient();

    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    /** The answer, whatever its status; its body is complete. */
    Result<PlatformAnswer> send(const PlatformCall &call);

    const std::string &peer() const;

private:
    using Session = std::unique_ptr<Poco::Net::HTTPClientSession>;
    using Deadline = std::chrono::steady_clock::time_point;

    Session takeIdle();
    Session makeSession() const;
    void keepIdle(Session session);
    Result<PlatformAnswer> attempt(Session session, const PlatformCall &call, Deadline deadline);
    /** @param reusable set to true if the connection may carry another call */
    Result<PlatformAnswer>
    receive(Poco::Net::HTTPClientSession &session, const PlatformCall &call, Deadline deadline, bool &reusable) const;
    std::string sendRequest(Poco::Net::HTTPClientSession &session, const PlatformCall &call) const;
    tl::unexpected<Error> fail(const PlatformCall &call, ErrorKind kind, const std::string &message) const;

    PlatformEndpoint m_endpoint;
    RequestSigner m_signer;
    const Clock &m_clock;
    bool m_secure = false;
    std::string m_host;
    std::uint16_t m_port = 0;
    std::string m_peer;
    Poco::Net::Context::Ptr m_context;
    std::mutex m_mutex;
    std::vector<Session> m_idle;
};

} // namespace Pimentohollow
