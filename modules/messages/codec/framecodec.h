#pragma once

#include "core/error.h"
#include "messages/authentication/messageauthenticator.h"
#include "messages/call/peermessage.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Pimentohollow
{

/** Binds a frame to its place on one link, so that it can't be replayed, reordered or sent back. */
struct FramePosition {
    /** Both nonces and the direction; empty for the first frame of each side. */
    std::string link;
    std::uint64_t sequence = 0;
};

/**
 * Writes and reads node-to-node frames: 4-byte length (little endian), 32-byte HMAC tag, cereal payload.
 * The length counts the tag and the payload. Errors: InvalidInput, Unauthorized.
 */
class FrameCodec
{
public:
    static constexpr std::size_t LengthBytes = 4;

    /** @param maximumBytes bound on the length of a frame, checked before memory is allocated for it */
    FrameCodec(std::string secret, std::size_t maximumBytes);

    /** The whole frame with its length. InvalidInput if the message exceeds the bound. */
    Result<std::string> encode(const PeerMessage &message, const FramePosition &position) const;

    /** Reads a frame without its length. */
    Result<PeerMessage> decode(std::string_view frame, const FramePosition &position) const;

    /** The number of bytes that follow @p length, which has LengthBytes bytes. */
    Result<std::size_t> frameBytes(std::string_view length) const;

private:
    MessageAuthenticator::Tag tag(std::string_view payload, const FramePosition &position) const;

    MessageAuthenticator m_authenticator;
    std::size_t m_maximumBytes;
};

} // namespace Pimentohollow
