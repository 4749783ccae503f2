#include "peer/channel/messagechannel.h"

#include <array>
#include <fmt/format.h>
#include <openssl/rand.h>
#include <stdexcept>

namespace Pimentohollow
{

namespace
{

constexpr std::size_t NonceBytes = 16;

} // namespace

std::string randomHex(std::size_t bytes)
{
    std::string raw(bytes, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char *>(raw.data()), static_cast<int>(bytes)) != 1) {
        throw std::runtime_error("the cryptographic random source failed");
    }
    std::string hex;
    for (const char it : raw) {
        hex += fmt::format("{:02x}", static_cast<unsigned char>(it));
    }
    return hex;
}

Result<std::unique_ptr<MessageChannel>>
MessageChannel::connect(std::unique_ptr<FrameChannel> channel, const FrameCodec &codec, Hello own, TimePoint deadline)
{
    std::unique_ptr<MessageChannel> result(new MessageChannel(std::move(channel), codec, std::move(own))); // private constructor
    if (const auto sent = result->send(result->m_own); !sent) {
        return tl::unexpected(sent.error());
    }
    if (const auto received = result->receiveHello(deadline); !received) {
        return tl::unexpected(received.error());
    }
    result->bind(true);
    return result;
}

Result<std::unique_ptr<MessageChannel>>
MessageChannel::accept(std::unique_ptr<FrameChannel> channel, const FrameCodec &codec, Hello own, TimePoint deadline)
{
    std::unique_ptr<MessageChannel> result(new MessageChannel(std::move(channel), codec, std::move(own))); // private constructor
    if (const auto received = result->receiveHello(deadline); !received) {
        return tl::unexpected(received.error());
    }
    if (const auto sent = result->send(result->m_own); !sent) {
        return tl::unexpected(sent.error());
    }
    result->bind(false);
    return result;
}

MessageChannel::MessageChannel(std::unique_ptr<FrameChannel> channel, const FrameCodec &codec, Hello own)
    : m_channel(std::move(channel))
    , m_codec(codec)
    , m_own(std::move(own))
{
    m_own.nonce = randomHex(NonceBytes);
}

Result<void> MessageChannel::send(const PeerMessage &message)
{
    const std::lock_guard lock(m_sendMutex);
    return sendLocked(message);
}

bool MessageChannel::trySend(const PeerMessage &message)
{
    const std::unique_lock lock(m_sendMutex, std::try_to_lock);
    return lock.owns_lock() && sendLocked(message).has_value();
}

Result<PeerMessage> MessageChannel::receive(TimePoint deadline)
{
    const auto frame = m_channel->receive(deadline);
    if (!frame) {
        return tl::unexpected(frame.error());
    }
    auto message = m_codec.decode(*frame, m_receivePosition);
    if (!message) {
        message.error().peer = peer();
        return message;
    }
    ++m_receivePosition.sequence;
    return message;
}

void MessageChannel::close()
{
    m_channel->close();
}

const Hello &MessageChannel::ownHello() const
{
    return m_own;
}

const Hello &MessageChannel::peerHello() const
{
    return m_peer;
}

std::string MessageChannel::peer() const
{
    return m_channel->peer();
}

Result<void> MessageChannel::receiveHello(TimePoint deadline)
{
    const auto message = receive(deadline);
    if (!message) {
        return tl::unexpected(message.error());
    }
    const auto *hello = std::get_if<Hello>(&*message);
    if (hello == nullptr) {
        return failure(ErrorKind::InvalidInput, "peer.handshake", "expected a Hello", peer());
    }
    m_peer = *hello;
    return {};
}

void MessageChannel::bind(bool caller)
{
    const std::string nonces = caller ? m_own.nonce + m_peer.nonce : m_peer.nonce + m_own.nonce;
    m_sendPosition.link = nonces + (caller ? ">" : "<");
    m_receivePosition.link = nonces + (caller ? "<" : ">");
}

Result<void> MessageChannel::sendLocked(const PeerMessage &message)
{
    const auto frame = m_codec.encode(message, m_sendPosition);
    if (!frame) {
        return tl::unexpected(frame.error()); // nothing was sent, so the channel stays usable
    }
    auto sent = m_channel->send(*frame);
    if (!sent) {
        m_channel->close();
        return sent;
    }
    ++m_sendPosition.sequence;
    return {};
}

} // namespace Pimentohollow
