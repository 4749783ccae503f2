#include "mesh/messages/meshcodec.h"

#include "messages/gossip/compactarchive.h"

namespace Pimentohollow
{

namespace
{

constexpr std::size_t LengthBytes = 4;
/** Leaves room above the largest request body, which current configurations limit to 64 MiB. */
constexpr std::size_t MaximumFrameBytes = std::size_t{ 80 } * 1024 * 1024;

} // namespace

void appendFrame(std::string &out, const MeshFrame &frame)
{
    const std::size_t start = out.size();
    out.append(LengthBytes, '\0');
    CompactOutputArchive archive(out);
    archive(frame);
    std::size_t length = out.size() - start - LengthBytes;
    for (std::size_t n = 0; n < LengthBytes; ++n, length >>= 8U) {
        out[start + n] = static_cast<char>(length & 0xffU);
    }
}

Result<std::optional<MeshFrame>> extractFrame(std::string_view &in)
{
    if (in.size() < LengthBytes) {
        return std::nullopt;
    }
    std::size_t length = 0;
    for (std::size_t n = LengthBytes; n-- > 0;) {
        length = (length << 8U) | static_cast<unsigned char>(in[n]);
    }
    if (length > MaximumFrameBytes) {
        return failure(ErrorKind::InvalidInput, "frame.read", "frame length exceeds 80 MiB");
    }
    if (in.size() < LengthBytes + length) {
        return std::nullopt;
    }
    try {
        MeshFrame frame;
        CompactInputArchive archive(in.substr(LengthBytes, length));
        archive(frame);
        if (archive.remaining() != 0) {
            return failure(ErrorKind::InvalidInput, "frame.read", "frame length exceeds its content");
        }
        in.remove_prefix(LengthBytes + length);
        return std::optional<MeshFrame>(std::move(frame));
    } catch (const std::exception &exception) {
        return failure(ErrorKind::InvalidInput, "frame.read", exception.what());
    }
}

} // namespace Pimentohollow
