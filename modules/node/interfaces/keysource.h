#pragma once

#include "core/names.h"

#include <optional>
#include <string_view>

namespace Pimentohollow
{

/** Checks client keys. Thread-safe. */
class KeySource
{
public:
    virtual ~KeySource() = default;

    /** The account to which a valid key belongs; nothing for an unknown or withdrawn key. */
    virtual std::optional<AccountName> accountOf(std::string_view key) const = 0;
};

} // namespace Pimentohollow
