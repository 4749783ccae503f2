#include "claims/claim.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <fmt/format.h>
#include <openssl/evp.h>
#include <sstream>
#include <xxhash.h>

namespace Pimentohollow
{

namespace
{

constexpr std::string_view ParseStep = "claims.row.parse";

std::int64_t toMilliseconds(WallTime time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

WallTime fromMilliseconds(std::int64_t count)
{
    return WallTime(std::chrono::milliseconds(count));
}

// Headers and bodies may hold any byte, but strings of the table service must be UTF-8.
std::string encodeBase64(const std::string &bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                  reinterpret_cast<const unsigned char *>(bytes.data()),
                                  static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

std::optional<std::string> decodeBase64(const std::string &text)
{
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    const int n = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                  reinterpret_cast<const unsigned char *>(text.data()),
                                  static_cast<int>(text.size()));
    if (n < 0) {
        return std::nullopt;
    }
    // EVP_DecodeBlock counts the padding as zero bytes.
    const auto padding = static_cast<std::size_t>(std::count(text.end() - std::min<std::ptrdiff_t>(2, std::ssize(text)), text.end(), '='));
    bytes.resize(static_cast<std::size_t>(n) - padding);
    return bytes;
}

std::string joinHeaders(const std::vector<OutcomeHeader> &headers)
{
    std::string text;
    for (const auto &it : headers) {
        text += fmt::format("{}:{}\n", it.name, it.value);
    }
    return text;
}

std::vector<OutcomeHeader> splitHeaders(const std::string &text)
{
    std::vector<OutcomeHeader> headers;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            headers.push_back({ line.substr(0, colon), line.substr(colon + 1) });
        }
    }
    return headers;
}

/** Reads attributes and remembers whether one was missing or of the wrong type. */
class RowReader
{
public:
    explicit RowReader(const Row &row)
        : m_row(row)
    {
    }

    template <typename T>
    T read(std::string_view attribute)
    {
        const auto it = m_row.find(std::string(attribute));
        if (it == m_row.end() || !std::holds_alternative<T>(it->second)) {
            m_missing = attribute;
            return {};
        }
        return std::get<T>(it->second);
    }

    std::string readBase64(std::string_view attribute)
    {
        auto bytes = decodeBase64(read<std::string>(attribute));
        if (!bytes) {
            m_missing = attribute;
        }
        return bytes.value_or(std::string());
    }

    void reject(std::string_view attribute)
    {
        m_missing = attribute;
    }

    const std::string &missing() const
    {
        return m_missing;
    }

private:
    const Row &m_row;
    std::string m_missing;
};

ClaimOutcome readOutcome(RowReader &reader)
{
    ClaimOutcome outcome;
    outcome.status = static_cast<int>(reader.read<std::int64_t>("status"));
    outcome.headers = splitHeaders(reader.readBase64("headers"));
    outcome.body = reader.readBase64("body");
    outcome.bodyObject = reader.read<std::string>("body_object");
    return outcome;
}

} // namespace

bool isValidIdempotencyKey(std::string_view key)
{
    const auto isVisible = [](char c) {
        return c > ' ' && c < '\x7f';
    };
    return !key.empty() && key.size() <= LongestIdempotencyKey && std::all_of(key.begin(), key.end(), isVisible);
}

RowKey claimRowKey(const ClaimKey &key)
{
    // 256 partitions per account, because the table service bounds the writes per second to one partition.
    const auto bucket = XXH64(key.idempotencyKey.data(), key.idempotencyKey.size(), 0) & 0xff;
    return RowKey{ fmt::format("claim/{}/{:02x}", key.account.text(), bucket), key.idempotencyKey };
}

Row claimToRow(const Claim &claim)
{
    Row row{
        { std::string(ClaimIdAttribute), claim.claimId },
        { "fingerprint", claim.fingerprint },
        { "node", claim.owner.node.text() },
        { "incarnation", static_cast<std::int64_t>(claim.owner.incarnation) },
        { "state", std::string(ClaimStateNames.name(claim.state)) },
        { "claimed_at", toMilliseconds(claim.claimedAt) },
        { "expires_at", toMilliseconds(claim.expiresAt) },
    };
    if (claim.outcome) {
        row["status"] = std::int64_t(claim.outcome->status);
        row["headers"] = encodeBase64(joinHeaders(claim.outcome->headers));
        row["body"] = encodeBase64(claim.outcome->bodyObject.empty() ? claim.outcome->body : std::string());
        row["body_object"] = claim.outcome->bodyObject;
    }
    return row;
}

Result<Claim> claimFromRow(const ClaimKey &key, const Row &row)
{
    RowReader reader(row);
    Claim claim;
    claim.key = key;
    claim.claimId = reader.read<std::string>(ClaimIdAttribute);
    claim.fingerprint = reader.read<std::string>("fingerprint");
    claim.owner.node = NodeName(reader.read<std::string>("node"));
    claim.owner.incarnation = static_cast<std::uint64_t>(reader.read<std::int64_t>("incarnation"));
    const auto state = ClaimStateNames.value(reader.read<std::string>("state"));
    if (!state) {
        reader.reject("state");
    }
    claim.state = state.value_or(ClaimState::Lost);
    claim.claimedAt = fromMilliseconds(reader.read<std::int64_t>("claimed_at"));
    claim.expiresAt = fromMilliseconds(reader.read<std::int64_t>("expires_at"));
    if (claim.state == ClaimState::Finished) {
        claim.outcome = readOutcome(reader);
    }
    if (!reader.missing().empty()) {
        return failure(
            ErrorKind::InvalidInput, std::string(ParseStep), fmt::format("attribute {} is missing or malformed", reader.missing()));
    }
    return claim;
}

std::string expiryPartition(const DataCentreName &dataCentre)
{
    return fmt::format("claim-expiry/{}", dataCentre.text());
}

std::string expirySortBound(WallTime time)
{
    // '0' follows '/', so the bound is above every token of the same millisecond.
    return fmt::format("{:020}0", toMilliseconds(time));
}

RowKey expiryRowKey(const DataCentreName &dataCentre, WallTime expiresAt, const std::string &token)
{
    return RowKey{ expiryPartition(dataCentre), fmt::format("{:020}/{}", toMilliseconds(expiresAt), token) };
}

Row expiryRow(const std::vector<ClaimReference> &claims)
{
    // Neither names of accounts nor valid keys contain a tab or a line feed.
    std::string lines;
    for (const auto &it : claims) {
        lines += fmt::format("{}\t{}\t{}\n", it.key.account.text(), it.key.idempotencyKey, it.claimId);
    }
    return Row{ { "claims", lines } };
}

Result<std::vector<ClaimReference>> expiryFromRow(const Row &row)
{
    RowReader reader(row);
    std::istringstream lines(reader.read<std::string>("claims"));
    std::vector<ClaimReference> claims;
    for (std::string line; std::getline(lines, line);) {
        const auto first = line.find('\t');
        const auto second = first == std::string::npos ? first : line.find('\t', first + 1);
        if (second == std::string::npos) {
            return failure(ErrorKind::InvalidInput, std::string(ParseStep), "malformed line in an expiry row");
        }
        claims.push_back({ { AccountName(line.substr(0, first)), line.substr(first + 1, second - first - 1) }, line.substr(second + 1) });
    }
    return claims;
}

std::string bodyObjectKey(const std::string &claimId)
{
    return fmt::format("claims/{}", claimId);
}

} // namespace Pimentohollow
