#include "messages/gossip/compactarchive.h"

#include <cstring>

namespace Pimentohollow
{

namespace
{
constexpr unsigned PayloadBits = 7;
constexpr std::uint8_t PayloadMask = 0x7f;
constexpr std::uint8_t ContinuationBit = 0x80;
constexpr unsigned LastShift = 63;
} // namespace

CompactOutputArchive::CompactOutputArchive(std::string &buffer)
    : OutputArchive<CompactOutputArchive, cereal::AllowEmptyClassElision>(this)
    , m_buffer(buffer)
{
}

void CompactOutputArchive::writeNumber(std::uint64_t value)
{
    while (value > PayloadMask) {
        m_buffer.push_back(static_cast<char>((value & PayloadMask) | ContinuationBit));
        value >>= PayloadBits;
    }
    m_buffer.push_back(static_cast<char>(value));
}

void CompactOutputArchive::writeBytes(const void *data, std::size_t size)
{
    m_buffer.append(static_cast<const char *>(data), size);
}

CompactInputArchive::CompactInputArchive(std::string_view data)
    : InputArchive<CompactInputArchive, cereal::AllowEmptyClassElision>(this)
    , m_data(data)
{
}

std::uint64_t CompactInputArchive::readNumber()
{
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift <= LastShift; shift += PayloadBits) {
        std::uint8_t byte = 0;
        readBytes(&byte, 1);
        if (shift == LastShift && byte > 1) {
            break;
        }
        value |= static_cast<std::uint64_t>(byte & PayloadMask) << shift;
        if ((byte & ContinuationBit) == 0) {
            return value;
        }
    }
    throw cereal::Exception("number longer than 64 bits");
}

void CompactInputArchive::readBytes(void *data, std::size_t size)
{
    if (size > m_data.size()) {
        throw cereal::Exception("datagram ends early");
    }
    std::memcpy(data, m_data.data(), size);
    m_data.remove_prefix(size);
}

std::size_t CompactInputArchive::remaining() const
{
    return m_data.size();
}

} // namespace Pimentohollow
