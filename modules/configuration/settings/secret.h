#pragma once

#include <ostream>
#include <string>
#include <utility>

namespace Pimentohollow
{

/** A secret from the settings. Printing it shows no part of it; code that needs the value asks for it by name. */
class Secret
{
public:
    Secret() = default;

    explicit Secret(std::string value)
        : m_value(std::move(value))
    {
    }

    /** The secret itself; never pass it to a log, an error or an answer. */
    const std::string &reveal() const
    {
        return m_value;
    }

    bool empty() const
    {
        return m_value.empty();
    }

    bool operator==(const Secret &) const = default;

    friend std::ostream &operator<<(std::ostream &stream, const Secret &)
    {
        return stream << "(hidden)";
    }

private:
    std::string m_value;
};

} // namespace Pimentohollow
