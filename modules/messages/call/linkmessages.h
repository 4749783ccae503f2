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

/** Brings the asking node up to date: changes in order, or a whole document for one that is too far behind. */
struct ChangesResponse {
    std::uint64_t callId = 0;
    /** Version of the document; 0 if there is none. */
    std::uint64_t documentVersion = 0;
    std::string document;
    /** Texts of change documents, in order and without gaps. */
    std::vector<std::string> changes;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(callId, documentVersion, document, changes);
    }
};

} // namespace Pimentohollow
