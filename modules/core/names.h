#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Pimentohollow
{

/**
 * A string that names one kind of thing, so that the name of an account can't be passed where a service is expected.
 * @tparam Tag an empty type that tells the kinds apart
 */
template <typename Tag>
class Name
{
public:
    Name() = default;

    explicit Name(std::string text)
        : m_text(std::move(text))
    {
    }

    const std::string &text() const
    {
        return m_text;
    }

    bool empty() const
    {
        return m_text.empty();
    }

    // clang-tidy 14 takes the literal 0 of the rewritten comparison for a pointer. NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Name &) const = default;
    bool operator==(const Name &) const = default;

    /** Used by cereal to write and read the plain text. */
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(m_text);
    }

    friend std::ostream &operator<<(std::ostream &stream, const Name &name)
    {
        return stream << name.m_text;
    }

private:
    std::string m_text;
};

/** A client account, the unit of rates, keys and fair shares. */
using AccountName = Name<struct AccountNameTag>;
/** A service, run by several upstreams. */
using ServiceName = Name<struct ServiceNameTag>;
/** A route of a service, as named in the configuration. */
using RouteName = Name<struct RouteNameTag>;
/** A data centre. */
using DataCentreName = Name<struct DataCentreNameTag>;
/** A node; unique in the fleet and taken from the node's settings. */
using NodeName = Name<struct NodeNameTag>;
/** The public id of a client key; the key itself is never stored. */
using KeyId = Name<struct KeyIdTag>;

} // namespace Pimentohollow

template <typename Tag>
struct std::hash<Pimentohollow::Name<Tag>> {
    std::size_t operator()(const Pimentohollow::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string>()(name.text());
    }
};
