#pragma once

#include "core/clock.h"

#include <map>
#include <string>
#include <string_view>

namespace Pimentohollow
{

/** Headers by lower-case name, in the order in which they are signed. */
using SignedHeaders = std::map<std::string, std::string>;

/** What the signature covers. */
struct SignableRequest {
    std::string method;
    /** Path as sent, each segment encoded. */
    std::string path = "/";
    /** Query as sent, its parameters sorted and encoded; without '?'. */
    std::string query;
    /** Includes host and x-amz-date. */
    SignedHeaders headers;
    /** Hex SHA-256 of the body. */
    std::string payloadHash;
};

/**
 * Signs requests with AWS Signature Version 4, which the table service and the object store both require.
 * Source: the published description of Signature Version 4; the test checks its example values.
 */
class RequestSigner
{
public:
    /** @param service "dynamodb" or "s3" */
    RequestSigner(std::string accessKeyId, std::string secretAccessKey, std::string region, std::string service);

    /** The value of the Authorization header. @param time as in x-amz-date */
    std::string authorization(const SignableRequest &request, const std::string &time) const;

    /** Only the signature, in hex. */
    std::string signature(const SignableRequest &request, const std::string &time) const;

    /** Time in the form of x-amz-date, "20261204T031500Z". */
    static std::string timeText(WallTime time);

    static std::string sha256Hex(std::string_view data);

    /** Encodes a path: all but unreserved characters and '/'. */
    static std::string encodePath(std::string_view path);

private:
    std::string scope(const std::string &time) const;

    std::string m_accessKeyId;
    std::string m_secretAccessKey;
    std::string m_region;
    std::string m_service;
};

} // namespace Pimentohollow
