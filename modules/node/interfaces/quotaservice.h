#pragma once

#include "core/names.h"
#include "core/refusal.h"

#include <optional>

namespace Pimentohollow
{

/** Counts the requests of callers against the rates of their accounts. Thread-safe. */
class QuotaService
{
public:
    virtual ~QuotaService() = default;

    /** Takes a token, waiting for some milliseconds at most; a refusal if the account has none. */
    virtual std::optional<Refusal> take(const AccountName &account) = 0;
};

/** No account has a bound; for nodes that run without platform. */
class UnlimitedQuota : public QuotaService
{
public:
    std::optional<Refusal> take(const AccountName & /*account*/) override
    {
        return std::nullopt;
    }
};

} // namespace Pimentohollow
