#pragma once

#include "core/random.h"
#include "quota/quotafaults.h"
#include "quota/shares/sharerow.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Pimentohollow
{

/** Read one row, with TableService::get(). */
struct ReadShares {
    RowKey key;
};

/** Read the rows of all data centres, with TableService::query(). */
struct ReadAllShares {
    std::string partition;
};

/** Write with TableService::transact(). */
struct WriteShares {
    std::vector<TableOperation> operations;
    std::string token;
};

/** What the owner of a ShareTable does next at the platform; it reports the outcome with the matching function. */
using ShareAction = std::variant<ReadShares, ReadAllShares, WriteShares>;

struct ShareSettings {
    NodeName node;
    DataCentreName dataCentre;
    NodeAddress address;
    /** Start number of this process. */
    std::uint64_t incarnation = 0;
    /** Long, so that outages of the platform don't stop service. */
    Duration lease = std::chrono::hours(24);
    Duration renewal = std::chrono::minutes(10);
    /** Longest loan of tokens with its margin: a taker that can't ask the old holder waits this long before it mints. */
    Duration loanTime = std::chrono::milliseconds(2500);
};

/**
 * The shares of this data centre that this node holds, as a state machine that asks for reads and conditional writes.
 *
 * A share is held from a confirmed write until its lease, counted from before that write was sent, ends or it is given
 * up. Giving up is final: minting stops first, then the loans run out, then the row is written. One action is open at a
 * time. Not thread-safe.
 */
class ShareTable
{
public:
    ShareTable(ShareSettings settings, Random &random, QuotaFaults faults = {});

    /** Live nodes of this data centre, this one included, and all data centres of the configuration. */
    void setMembers(const std::vector<NodeName> &nodes);
    void setDataCentres(const std::vector<DataCentreName> &dataCentres);

    /** The operator states that this node's VM is gone. */
    void nodeRemoved(const NodeName &node);

    /** Gives up all shares, before this node leaves. */
    void drain(TimePoint now);
    /** Whether nothing is held and the row names this node no more. */
    bool drained() const;

    /** The next action at the platform, or nothing. */
    std::optional<ShareAction> next(TimePoint now);

    void onRead(const Result<std::optional<Row>> &result, TimePoint now);
    void onReadAll(const Result<std::vector<KeyedRow>> &result, TimePoint now);
    void onWritten(const Result<TransactionResult> &result, TimePoint now);

    /** Shares for QuotaLedger::setHoldings(). */
    std::vector<ShareHolding> holdings() const;
    /** Number of data centres by which this node divides. */
    std::uint32_t split() const;
    /** Place of this data centre among those of the configuration, below split(). */
    std::uint32_t index() const;

    /** Up to @p count shares that this node gives up, for a peer that asks; empty until they are stopped and no loan runs. */
    std::vector<std::uint8_t> handOver(std::size_t count, TimePoint now) const;
    /** A peer handed over shares that the row names as its own under @p incarnation. */
    void onHandedOver(const NodeName &giver, std::uint64_t incarnation, const std::vector<std::uint8_t> &shares);

    /** Shares that this node should hold when all nodes are equal. */
    std::size_t target() const;
    /** Shares held that aren't being given up. */
    std::size_t held() const;
    /** Owners of shares as last read. */
    const std::optional<ShareRow> &row() const;

private:
    struct Holding {
        bool held = false;
        /** Minting has stopped for good; the row may still name this node. */
        bool stopped = false;
        TimePoint stoppedAt{};
        TimePoint mintFrom{};
        TimePoint leaseEnd{};
    };
    struct Observation {
        ShareEntry entry;
        TimePoint since{};
    };
    struct OpenWrite {
        ShareRow row;
        TimePoint sentAt{};
        /** Number of all entries that this write renews or takes; 0 if there are none. */
        std::uint64_t renewal = 0;
        /** Shares whose old holder may still have lent from them. */
        std::set<std::size_t> waits;
        /** Writes and checks of other data centres' rows. */
        std::vector<TableOperation> others;
    };

    void adopt(const ShareRow &row, TimePoint now);
    void observe(std::size_t share, TimePoint now);
    void adoptShare(std::size_t share, TimePoint now);
    bool isMine(const ShareEntry &entry) const;
    bool isPredecessor(const ShareEntry &entry) const;
    bool isHandedOver(std::size_t share) const;
    bool mayTake(std::size_t share, TimePoint now, bool &wait) const;
    bool quiet(const Holding &holding, TimePoint now) const;
    bool readDue(TimePoint now) const;
    bool needsAllRows() const;
    bool splitMayChange() const;
    OpenWrite plan(TimePoint now);
    void planOwned(OpenWrite &write, TimePoint now) const;
    void planTaken(OpenWrite &write, TimePoint now) const;
    void planSplit(OpenWrite &write) const;
    void planOthers(OpenWrite &write) const;
    void claim(OpenWrite &write, std::size_t share) const;
    void stopSurplus(TimePoint now);
    void stop(std::size_t share, TimePoint now);
    void retryLater(TimePoint now, Duration longest);
    std::uint32_t configured() const;
    /** Whether the configuration names this data centre; otherwise nothing is taken and all is given up. */
    bool belongs() const;

    ShareSettings m_settings;
    Random &m_random;
    std::vector<NodeName> m_nodes;
    std::vector<DataCentreName> m_dataCentres;
    /** Removed nodes whose incarnation isn't known yet, and owners that are known to be gone. */
    std::set<NodeName> m_removedNodes;
    std::set<std::pair<NodeName, std::uint64_t>> m_removedOwners;

    std::optional<ShareRow> m_row;
    TimePoint m_readAt{};
    TimePoint m_membersChangedAt{};
    std::map<DataCentreName, ShareRow> m_otherRows;
    std::array<Holding, SharesPerDataCentre> m_holdings{};
    std::array<Observation, SharesPerDataCentre> m_observations{};
    /** Giver of a hand-over by share. */
    std::map<std::size_t, std::pair<NodeName, std::uint64_t>> m_handedOver;

    std::optional<OpenWrite> m_openWrite;
    /** When recent writes were sent and which of their shares wait, by renewal number. */
    struct Sent {
        TimePoint at{};
        std::set<std::size_t> waits;
    };
    std::map<std::uint64_t, Sent> m_sent;
    std::uint64_t m_renewal = 0;
    TimePoint m_renewedAt{};
    TimePoint m_notBefore{};
    QuotaFaults m_faults;
    bool m_draining = false;
    bool m_readNeeded = true;
    bool m_membersChanged = false;
    bool m_otherRowsFresh = false;
    bool m_actionOpen = false;
};

} // namespace Pimentohollow
