#include "peer/channel/tcpframechannel.h"

#include <algorithm>
#include <cerrno>
#include <Poco/Exception.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <poll.h>
#include <sys/socket.h>

namespace Pimentohollow
{

namespace
{

constexpr std::size_t ReadBytes = std::size_t{ 32 } * 1024;

bool waitForBytes(int fd, TimePoint deadline)
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now()).count();
    constexpr std::int64_t LongestPollMillis = 1'000'000;
    pollfd entry{ fd, POLLIN, 0 };
    const int rc = ::poll(&entry, 1, static_cast<int>(std::clamp<std::int64_t>(left, 0, LongestPollMillis)));
    return rc > 0 || (rc < 0 && errno != EINTR);
}

} // namespace

TcpFrameChannel::TcpFrameChannel(const Poco::Net::StreamSocket &socket, const FrameCodec &codec, Duration sendTime)
    : m_socket(socket)
    , m_codec(codec)
    , m_peer(socket.peerAddress().toString())
{
    m_socket.setNoDelay(true);
    m_socket.setSendTimeout({ std::chrono::duration_cast<std::chrono::microseconds>(sendTime).count() });
}

Result<void> TcpFrameChannel::send(const std::string &frame)
{
    try {
        std::size_t sent = 0;
        while (sent < frame.size()) {
            const int count = m_socket.sendBytes(frame.data() + sent, static_cast<int>(frame.size() - sent), MSG_NOSIGNAL);
            if (count <= 0) {
                return failure(ErrorKind::Unavailable, "peer.send", "connection closed", m_peer);
            }
            sent += static_cast<std::size_t>(count);
        }
        return {};
    } catch (const Poco::Exception &ex) {
        return failure(ErrorKind::Unavailable, "peer.send", ex.displayText(), m_peer);
    }
}

Result<std::string> TcpFrameChannel::receive(TimePoint deadline)
{
    std::size_t needed = FrameCodec::LengthBytes;
    bool lengthKnown = false;
    while (true) {
        if (!lengthKnown && m_buffer.size() >= FrameCodec::LengthBytes) {
            const auto bytes = m_codec.frameBytes(std::string_view(m_buffer).substr(0, FrameCodec::LengthBytes));
            if (!bytes) {
                return tl::unexpected(bytes.error());
            }
            needed += *bytes;
            lengthKnown = true;
        }
        if (lengthKnown && m_buffer.size() >= needed) {
            std::string frame = m_buffer.substr(FrameCodec::LengthBytes, needed - FrameCodec::LengthBytes);
            m_buffer.erase(0, needed);
            return frame;
        }
        if (const auto filled = fill(deadline); !filled) {
            return tl::unexpected(filled.error());
        }
    }
}

void TcpFrameChannel::close()
{
    // Shutting down instead of closing keeps the descriptor valid for threads that still use it.
    ::shutdown(m_socket.impl()->sockfd(), SHUT_RDWR);
}

std::string TcpFrameChannel::peer() const
{
    return m_peer;
}

Result<void> TcpFrameChannel::fill(TimePoint deadline)
{
    const int fd = m_socket.impl()->sockfd();
    if (!waitForBytes(fd, deadline)) {
        return failure(ErrorKind::Timeout, "peer.receive", "no frame in time", m_peer);
    }
    const std::size_t before = m_buffer.size();
    m_buffer.resize(before + ReadBytes);
    const auto count = ::recv(fd, m_buffer.data() + before, ReadBytes, 0);
    m_buffer.resize(before + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    if (count <= 0) {
        return failure(ErrorKind::Closed, "peer.receive", "connection closed", m_peer);
    }
    return {};
}

} // namespace Pimentohollow
