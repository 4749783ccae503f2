#include "messages/codec/framecodec.h"

#include "messages/gossip/compactarchive.h"

#include <cassert>
#include <fmt/format.h>

namespace Pimentohollow
{

namespace
{

constexpr std::size_t BitsPerByte = 8;

std::string lengthPrefix(std::size_t length)
{
    std::string result;
    for (std::size_t n = 0; n < FrameCodec::LengthBytes; ++n) {
        result += static_cast<char>(length >> (BitsPerByte * n) & 0xffU);
    }
    return result;
}

std::string payloadOf(const PeerMessage &message)
{
    std::string payload;
    CompactOutputArchive archive(payload);
    archive(message);
    return payload;
}

} // namespace

FrameCodec::FrameCodec(std::string secret, std::size_t maximumBytes)
    : m_authenticator(std::move(secret))
    , m_maximumBytes(maximumBytes)
{
}

Result<std::string> FrameCodec::encode(const PeerMessage &message, const FramePosition &position) const
{
    const std::string payload = payloadOf(message);
    const std::size_t length = payload.size() + MessageAuthenticator::TagBytes;
    if (length > m_maximumBytes) {
        return failure(ErrorKind::InvalidInput, "frame.encode", fmt::format("message of {} bytes exceeds the bound", payload.size()));
    }
    const auto tag = this->tag(payload, position);
    std::string frame = lengthPrefix(length);
    frame.reserve(LengthBytes + length);
    frame.append(tag.begin(), tag.end());
    frame += payload;
    return frame;
}

Result<PeerMessage> FrameCodec::decode(std::string_view frame, const FramePosition &position) const
{
    if (frame.size() < MessageAuthenticator::TagBytes) {
        return failure(ErrorKind::InvalidInput, "frame.decode", "frame is shorter than its tag");
    }
    const std::string_view payload = frame.substr(MessageAuthenticator::TagBytes);
    const auto expected = tag(payload, position);
    const std::string_view given = frame.substr(0, MessageAuthenticator::TagBytes);
    if (!MessageAuthenticator::equal(expected, given)) {
        return failure(ErrorKind::Unauthorized, "frame.decode", "wrong tag");
    }
    try {
        // Refuses a length beyond the end of the frame before anything is allocated.
        CompactInputArchive archive(payload);
        PeerMessage message;
        archive(message);
        return message;
    } catch (const std::exception &ex) {
        return failure(ErrorKind::InvalidInput, "frame.decode", ex.what());
    }
}

Result<std::size_t> FrameCodec::frameBytes(std::string_view length) const
{
    assert(length.size() == LengthBytes);
    std::size_t result = 0;
    for (std::size_t n = 0; n < LengthBytes; ++n) {
        result |= static_cast<std::size_t>(static_cast<unsigned char>(length[n])) << (BitsPerByte * n);
    }
    if (result < MessageAuthenticator::TagBytes || result > m_maximumBytes) {
        return failure(ErrorKind::InvalidInput, "frame.length", fmt::format("frame length {} is out of bounds", result));
    }
    return result;
}

MessageAuthenticator::Tag FrameCodec::tag(std::string_view payload, const FramePosition &position) const
{
    std::string data = position.link;
    data += lengthPrefix(position.link.size());
    for (std::size_t n = 0; n < sizeof(position.sequence); ++n) {
        data += static_cast<char>(position.sequence >> (BitsPerByte * n) & 0xffU);
    }
    data += payload;
    return m_authenticator.tag(data);
}

} // namespace Pimentohollow
