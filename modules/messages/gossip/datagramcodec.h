#pragma once

#include "core/error.h"
#include "messages/authentication/messageauthenticator.h"
#include "messages/gossip/gossipmessage.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Pimentohollow
{

/** A received message and its authenticated sender. */
struct Datagram {
    NodeName sender;
    /** Start number of the sender's process. */
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    GossipMessage message;
};

/** Datagrams by what became of them. */
struct DatagramCounters {
    std::uint64_t accepted = 0;
    std::uint64_t malformed = 0; ///< wrong length, or the content doesn't parse
    std::uint64_t unauthenticated = 0;
    std::uint64_t replayed = 0;
};

/**
 * Encodes and decodes gossip datagrams: a format byte, sender, process incarnation, sequence and message, then the tag.
 *
 * A datagram is accepted once: per sender the codec keeps the highest incarnation and a window of 64 sequences.
 * Errors: InvalidInput (malformed, too large), Unauthorized (wrong tag), Conflict (replayed). Not thread-safe.
 */
class DatagramCodec
{
public:
    /** Fits one Ethernet frame with the IP and UDP headers, also through a tunnel, so that it is never fragmented. */
    static constexpr std::size_t MaximumBytes = 1400;

    /**
     * @param self name of this node
     * @param incarnation start number of this process, greater than that of any earlier process with this name
     */
    DatagramCodec(NodeName self, std::uint64_t incarnation, MessageAuthenticator authenticator);

    Result<std::string> encode(const GossipMessage &message);

    /** @param peer address the datagram came from, for the error */
    Result<Datagram> decode(std::string_view datagram, const std::string &peer = {});

    /** Drops the replay window of a node that left the fleet. */
    void forget(const NodeName &node);

    const DatagramCounters &counters() const;

    /** Bytes that @p update adds to a datagram. */
    static std::size_t updateBytes(const GossipUpdate &update);

    /** Bytes that are left for updates in a datagram from @p sender that holds @p message. */
    static std::size_t freeBytes(const NodeName &sender, const GossipMessage &message);

private:
    struct ReplayWindow {
        std::uint64_t incarnation = 0;
        std::uint64_t highest = 0;
        /** Bit n is set if highest - n was accepted. */
        std::uint64_t seen = 0;
    };

    bool acceptOnce(const Datagram &datagram);

    NodeName m_self;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    MessageAuthenticator m_authenticator;
    std::unordered_map<NodeName, ReplayWindow> m_windows;
    DatagramCounters m_counters;
};

} // namespace Pimentohollow
