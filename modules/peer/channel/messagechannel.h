#pragma once

#include "messages/codec/framecodec.h"
#include "peer/channel/framechannel.h"

#include <memory>
#include <mutex>

namespace Pimentohollow
{

/** Random bytes from the cryptographic source in lower-case hex. */
std::string randomHex(std::size_t bytes);

/**
 * Authenticated messages over a FrameChannel. Each side sends a Hello first; from then on every frame is bound to both
 * nonces, the direction and its sequence number.
 * One thread receives; any thread may send and close.
 */
class MessageChannel
{
public:
    /** Opens the calling side. */
    static Result<std::unique_ptr<MessageChannel>>
    connect(std::unique_ptr<FrameChannel> channel, const FrameCodec &codec, Hello own, TimePoint deadline);

    /** Opens the answering side. */
    static Result<std::unique_ptr<MessageChannel>>
    accept(std::unique_ptr<FrameChannel> channel, const FrameCodec &codec, Hello own, TimePoint deadline);

    /** Sends a message; after an error the channel is closed and the other side hasn't received the whole message. */
    Result<void> send(const PeerMessage &message);

    /** Sends unless another thread is sending; true if it was sent. */
    bool trySend(const PeerMessage &message);

    /** The next message. After Timeout the channel is still usable, after other errors it is not. */
    Result<PeerMessage> receive(TimePoint deadline);

    void close();

    const Hello &ownHello() const;
    const Hello &peerHello() const;
    std::string peer() const;

private:
    MessageChannel(std::unique_ptr<FrameChannel> channel, const FrameCodec &codec, Hello own);

    Result<void> receiveHello(TimePoint deadline);
    void bind(bool caller);
    Result<void> sendLocked(const PeerMessage &message);

    std::unique_ptr<FrameChannel> m_channel;
    const FrameCodec &m_codec;
    Hello m_own;
    Hello m_peer;
    std::mutex m_sendMutex;
    FramePosition m_sendPosition;
    FramePosition m_receivePosition;
};

} // namespace Pimentohollow
