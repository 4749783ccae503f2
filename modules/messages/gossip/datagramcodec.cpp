#include "messages/gossip/datagramcodec.h"

#include "messages/gossip/compactarchive.h"

#include <utility>

namespace Pimentohollow
{

namespace
{

constexpr char FormatByte = 1;
constexpr std::size_t MinimumBytes = 1 + MessageAuthenticator::TagBytes;
constexpr std::uint64_t WindowBits = 64;
/** Above the largest fleet; only authenticated senders have a window. */
constexpr std::size_t MaximumWindows = 8192;

/** Refuses numbers that aren't enumerators, which cereal would store unchecked. */
struct EnumCheck {
    static void check(bool valid)
    {
        if (!valid) {
            throw cereal::Exception("unknown state");
        }
    }
    void operator()(const MemberUpdate &it) const
    {
        check(it.state <= MemberState::Left);
    }
    void operator()(const UpstreamRecord &it) const
    {
        check(it.state <= UpstreamState::Gone && it.normalAdmittedPercent <= 100 && it.importantAdmittedPercent <= 100);
    }
    template <typename T>
    void operator()(const T &it) const
    {
        if constexpr (requires { it.updates; }) {
            for (const auto &update : it.updates) {
                std::visit(EnumCheck(), update);
            }
        }
        if constexpr (std::is_same_v<T, DataCentreDigest>) {
            (*this)(it.sender);
        }
    }
};

Datagram parse(std::string_view body)
{
    CompactInputArchive archive(body.substr(1));
    Datagram datagram;
    archive(datagram.sender, datagram.incarnation, datagram.sequence, datagram.message);
    if (archive.remaining() != 0) {
        throw cereal::Exception("trailing bytes");
    }
    if (datagram.sender.empty()) {
        throw cereal::Exception("sender without a name");
    }
    std::visit(EnumCheck(), datagram.message);
    return datagram;
}

} // namespace

DatagramCodec::DatagramCodec(NodeName self, std::uint64_t incarnation, MessageAuthenticator authenticator)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_authenticator(std::move(authenticator))
{
}

Result<std::string> DatagramCodec::encode(const GossipMessage &message)
{
    std::string datagram(1, FormatByte);
    CompactOutputArchive archive(datagram);
    archive(m_self, m_incarnation, ++m_sequence, message);
    if (datagram.size() + MessageAuthenticator::TagBytes > MaximumBytes) {
        return failure(ErrorKind::InvalidInput, "datagram.encode", "message exceeds the datagram bound");
    }
    const auto tag = m_authenticator.tag(datagram);
    datagram.append(tag.begin(), tag.end());
    return datagram;
}

Result<Datagram> DatagramCodec::decode(std::string_view datagram, const std::string &peer)
{
    if (datagram.size() < MinimumBytes || datagram.size() > MaximumBytes || datagram.front() != FormatByte) {
        ++m_counters.malformed;
        return failure(ErrorKind::InvalidInput, "datagram.decode", "unknown format or length", peer);
    }
    const auto body = datagram.substr(0, datagram.size() - MessageAuthenticator::TagBytes);
    if (!m_authenticator.verify(body, datagram.substr(body.size()))) {
        ++m_counters.unauthenticated;
        return failure(ErrorKind::Unauthorized, "datagram.decode", "wrong authentication tag", peer);
    }
    try {
        auto result = parse(body);
        if (!acceptOnce(result)) {
            ++m_counters.replayed;
            return failure(ErrorKind::Conflict, "datagram.decode", "replayed or too old", peer);
        }
        ++m_counters.accepted;
        return result;
    } catch (const std::exception &ex) {
        ++m_counters.malformed;
        return failure(ErrorKind::InvalidInput, "datagram.decode", ex.what(), peer);
    }
}

void DatagramCodec::forget(const NodeName &node)
{
    m_windows.erase(node);
}

const DatagramCounters &DatagramCodec::counters() const
{
    return m_counters;
}

std::size_t DatagramCodec::updateBytes(const GossipUpdate &update)
{
    std::string buf;
    CompactOutputArchive archive(buf);
    archive(update);
    return buf.size();
}

std::size_t DatagramCodec::freeBytes(const NodeName &sender, const GossipMessage &message)
{
    constexpr std::size_t MaximumNumberBytes = 10;
    std::string buf;
    CompactOutputArchive archive(buf);
    archive(sender, message);
    // Sequence and incarnation at their largest, and a second byte for the number of updates.
    const auto used = MinimumBytes + 2 * MaximumNumberBytes + 1 + buf.size();
    return used < MaximumBytes ? MaximumBytes - used : 0;
}

bool DatagramCodec::acceptOnce(const Datagram &datagram)
{
    auto it = m_windows.find(datagram.sender);
    if (it == m_windows.end()) {
        if (m_windows.size() >= MaximumWindows) {
            m_windows.erase(m_windows.begin());
        }
        m_windows.emplace(datagram.sender, ReplayWindow{ datagram.incarnation, datagram.sequence, 1 });
        return true;
    }
    auto &window = it->second;
    if (datagram.incarnation != window.incarnation) {
        const bool newer = datagram.incarnation > window.incarnation;
        if (newer) {
            window = { datagram.incarnation, datagram.sequence, 1 };
        }
        return newer;
    }
    if (datagram.sequence > window.highest) {
        const auto step = datagram.sequence - window.highest;
        window.seen = step < WindowBits ? (window.seen << step) | 1 : 1;
        window.highest = datagram.sequence;
        return true;
    }
    const auto age = window.highest - datagram.sequence;
    if (age >= WindowBits || (window.seen >> age & 1) != 0) {
        return false;
    }
    window.seen |= std::uint64_t{ 1 } << age;
    return true;
}

} // namespace Pimentohollow
