#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace Pimentohollow
{

/** Shows that the connection and the process behind it are alive; the server returns it unchanged. */
struct Heartbeat {
    std::uint64_t sequence = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sequence);
    }
};

/** The sender takes no new calls on this link; calls in progress are finished. */
struct GoAway {
    template <typename Archive>
    void serialize(Archive & /*archive*/)
    {
    }
};

/** Asks a peer for the configuration changes after a version. */
struct ChangesRequest {
    std::uint64_t callId = 0;
    std::uint64_t afterVersion = 0;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(callId, afterVersion);
    }
};

/** Configuration changes in order; each is the text of one change document. */
struct ChangesResponse {
    std::uint64_t callId = 0;
    std::uint64_t firstVersion = 0;
    std::vector<std::string> changes;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(callId, firstVersion, changes);
    }
};

} // namespace Pimentohollow
