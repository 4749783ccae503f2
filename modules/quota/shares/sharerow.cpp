#include "quota/shares/sharerow.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <optional>
#include <string_view>
#include <vector>

namespace Pimentohollow
{

namespace
{

constexpr std::size_t EntryFields = 6;

std::string entryName(std::size_t share)
{
    return fmt::format("share{:02}", share);
}

std::string entryText(const ShareEntry &it)
{
    return it.free() ? fmt::format("\n\n0\n0\n0\n{}", it.split)
                     : fmt::format("{}\n{}\n{}\n{}\n{}\n{}", it.owner.text(), it.host, it.port, it.incarnation, it.renewal, it.split);
}

template <typename Number>
bool parseNumber(std::string_view text, Number &number)
{
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    return ec == std::errc() && end == text.data() + text.size();
}

std::optional<ShareEntry> parseEntry(std::string_view text)
{
    std::vector<std::string_view> fields;
    for (std::size_t begin = 0; begin <= text.size();) {
        const auto end = std::min(text.find('\n', begin), text.size());
        fields.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    ShareEntry entry;
    if (fields.size() != EntryFields || !parseNumber(fields[2], entry.port) || !parseNumber(fields[3], entry.incarnation)
        || !parseNumber(fields[4], entry.renewal) || !parseNumber(fields[5], entry.split)) {
        return std::nullopt;
    }
    entry.owner = NodeName(std::string(fields[0]));
    entry.host = fields[1];
    return entry;
}

template <typename T>
const T *attribute(const Row &row, const std::string &name)
{
    const auto it = row.find(name);
    return it == row.end() ? nullptr : std::get_if<T>(&it->second);
}

} // namespace

bool ShareRow::dividesBy(std::uint32_t dataCentres) const
{
    return split >= dataCentres && std::all_of(entries.begin(), entries.end(), [dataCentres](const ShareEntry &it) {
               return it.free() || it.split >= dataCentres;
           });
}

bool ShareRow::closed() const
{
    return !active && std::all_of(entries.begin(), entries.end(), [](const ShareEntry &it) {
        return it.free();
    });
}

Row ShareRow::toRow() const
{
    Row row;
    row["revision"] = revision;
    row["writer"] = writer;
    row["split"] = std::int64_t{ split };
    row["active"] = std::int64_t{ active ? 1 : 0 };
    for (std::size_t n = 0; n < entries.size(); ++n) {
        row[entryName(n)] = entryText(entries[n]);
    }
    return row;
}

Result<ShareRow> ShareRow::fromRow(const Row &row)
{
    const auto *revision = attribute<std::int64_t>(row, "revision");
    const auto *writer = attribute<std::string>(row, "writer");
    const auto *split = attribute<std::int64_t>(row, "split");
    const auto *active = attribute<std::int64_t>(row, "active");
    if (revision == nullptr || writer == nullptr || split == nullptr || active == nullptr) {
        return failure(ErrorKind::InvalidInput, "shares.parse", "row lacks an attribute");
    }
    ShareRow result;
    result.revision = *revision;
    result.writer = *writer;
    result.split = static_cast<std::uint32_t>(*split);
    result.active = *active != 0;
    for (std::size_t n = 0; n < result.entries.size(); ++n) {
        const auto *text = attribute<std::string>(row, entryName(n));
        const auto entry = text == nullptr ? std::nullopt : parseEntry(*text);
        if (!entry) {
            return failure(ErrorKind::InvalidInput, "shares.parse", "share " + std::to_string(n) + " is malformed");
        }
        result.entries[n] = *entry;
    }
    return result;
}

RowKey ShareRow::key(const DataCentreName &dataCentre)
{
    return { Partition, dataCentre.text() };
}

} // namespace Pimentohollow
