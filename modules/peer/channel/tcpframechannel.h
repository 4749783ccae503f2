#pragma once

#include "messages/codec/framecodec.h"
#include "peer/channel/framechannel.h"

#include <Poco/Net/StreamSocket.h>

namespace Pimentohollow
{

/** Frames over a TCP connection. */
class TcpFrameChannel : public FrameChannel
{
public:
    /** @param sendTime longest time in which the other side takes no byte */
    TcpFrameChannel(const Poco::Net::StreamSocket &socket, const FrameCodec &codec, Duration sendTime);

    Result<void> send(const std::string &frame) override;
    Result<std::string> receive(TimePoint deadline) override;
    void close() override;
    std::string peer() const override;

private:
    Result<void> fill(TimePoint deadline);

    Poco::Net::StreamSocket m_socket;
    const FrameCodec &m_codec;
    std::string m_peer;
    std::string m_buffer;
};

} // namespace Pimentohollow
