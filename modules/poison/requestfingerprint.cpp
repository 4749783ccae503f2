#include "poison/requestfingerprint.h"

#include <fmt/format.h>
#include <memory>
#include <xxhash.h>

namespace Pimentohollow
{

namespace
{

struct FreeState {
    void operator()(XXH3_state_t *state) const
    {
        XXH3_freeState(state);
    }
};

/** Adds the length first, so that moving a byte from one field to the next changes the hash. */
void addField(XXH3_state_t *state, std::string_view field)
{
    const std::uint64_t size = field.size();
    XXH3_128bits_update(state, &size, sizeof(size));
    XXH3_128bits_update(state, field.data(), field.size());
}

} // namespace

RequestFingerprint RequestFingerprint::of(const AccountName &account, const RouteName &route, std::string_view body)
{
    const std::unique_ptr<XXH3_state_t, FreeState> state(XXH3_createState());
    XXH3_128bits_reset(state.get());
    addField(state.get(), account.text());
    addField(state.get(), route.text());
    addField(state.get(), body);
    const auto digest = XXH3_128bits_digest(state.get());
    return RequestFingerprint{ digest.high64, digest.low64 };
}

std::string RequestFingerprint::hex() const
{
    return fmt::format("{:016x}{:016x}", high, low);
}

} // namespace Pimentohollow
