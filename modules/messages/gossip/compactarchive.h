#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>

namespace Pimentohollow
{

/**
 * Portable binary output archive of cereal for datagrams: integers as LEB128, lengths in one byte where they fit.
 *
 * cereal's own portable archive spends eight bytes on each length, which is more than most names in a gossip update
 * need in total.
 * @see CompactInputArchive
 */
class CompactOutputArchive : public cereal::OutputArchive<CompactOutputArchive, cereal::AllowEmptyClassElision>
{
public:
    /** @param buffer receives the bytes; must outlive the archive */
    explicit CompactOutputArchive(std::string &buffer);

    void writeNumber(std::uint64_t value);
    void writeBytes(const void *data, std::size_t size);

private:
    std::string &m_buffer;
};

/**
 * Reads what CompactOutputArchive wrote. A length greater than the bytes that are left is refused before anything is
 * allocated. Throws cereal::Exception on malformed input.
 */
class CompactInputArchive : public cereal::InputArchive<CompactInputArchive, cereal::AllowEmptyClassElision>
{
public:
    /** @param data must outlive the archive */
    explicit CompactInputArchive(std::string_view data);

    std::uint64_t readNumber();
    void readBytes(void *data, std::size_t size);
    std::size_t remaining() const;

private:
    std::string_view m_data;
};

template <typename T>
std::enable_if_t<std::is_integral_v<T>> save(CompactOutputArchive &archive, const T &value)
{
    if constexpr (sizeof(T) == 1) {
        archive.writeBytes(&value, 1);
    } else {
        archive.writeNumber(static_cast<std::uint64_t>(static_cast<std::make_unsigned_t<T>>(value)));
    }
}

template <typename T>
std::enable_if_t<std::is_integral_v<T>> load(CompactInputArchive &archive, T &value)
{
    if constexpr (sizeof(T) == 1) {
        std::uint8_t byte = 0;
        archive.readBytes(&byte, 1);
        if (std::is_same_v<T, bool> && byte > 1) {
            throw cereal::Exception("boolean out of range");
        }
        value = static_cast<T>(byte);
    } else {
        const auto number = archive.readNumber();
        // No message has a negative number; cereal would read a negative variant index as the first alternative.
        if (number > static_cast<std::make_unsigned_t<T>>(std::numeric_limits<T>::max())) {
            throw cereal::Exception("number out of range");
        }
        value = static_cast<T>(number);
    }
}

template <typename T>
void save(CompactOutputArchive &archive, const cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template <typename T>
void load(CompactInputArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template <typename T>
void save(CompactOutputArchive &archive, const cereal::SizeTag<T> &tag)
{
    archive.writeNumber(tag.size);
}

template <typename T>
void load(CompactInputArchive &archive, cereal::SizeTag<T> &tag)
{
    const auto size = archive.readNumber();
    if (size > archive.remaining()) {
        throw cereal::Exception("length beyond the end of the datagram");
    }
    tag.size = size;
}

template <typename T>
void save(CompactOutputArchive &archive, const cereal::BinaryData<T> &data)
{
    archive.writeBytes(data.data, data.size);
}

template <typename T>
void load(CompactInputArchive &archive, cereal::BinaryData<T> &data)
{
    archive.readBytes(data.data, data.size);
}

} // namespace Pimentohollow

CEREAL_REGISTER_ARCHIVE(Pimentohollow::CompactOutputArchive)
CEREAL_REGISTER_ARCHIVE(Pimentohollow::CompactInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(Pimentohollow::CompactInputArchive, Pimentohollow::CompactOutputArchive)
