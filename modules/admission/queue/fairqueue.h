#pragma once

#include "core/names.h"
#include "core/requestcontext.h"

#include <array>
#include <cstdint>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Pimentohollow
{

/** Chosen by the caller; unique among the requests that a controller knows at the same time. */
using AdmissionTicket = std::uint64_t;

/** Settings of FairQueue. */
struct FairQueueSettings {
    /** False puts all accounts into one first-in-first-out queue; only for comparison. */
    bool fairShares = true;
    /** False treats important requests as normal ones; only for comparison. */
    bool priorities = true;
};

/** A request that waits. */
struct QueuedRequest {
    AdmissionTicket ticket = 0;
    AccountName account;
    Priority priority = Priority::Normal;
    /** When the request is given up if it has not started. */
    TimePoint latestStart{};
};

/**
 * Queue before an upstream: strict priority of important over normal requests and, within a priority, weighted
 * max-min fair shares between client accounts (start-time fair queueing; each request costs the same).
 *
 * An account below its share never waits behind the backlog of another one. Not bounded by itself:
 * the owner calls displaceFor() when it considers the queue full.
 */
class FairQueue
{
public:
    explicit FairQueue(FairQueueSettings settings = {});

    /** Sets the weight of an account, for example its rate; 1 if never set. */
    void setWeight(const AccountName &account, double weight);

    void push(const QueuedRequest &request);

    /** Puts a request before all others of its priority; used for requests that were admitted before. */
    void pushFront(const QueuedRequest &request);

    /** Removes the next request to start. */
    std::optional<AdmissionTicket> pop();

    /** Removes a given request; false if it does not wait here. */
    bool remove(AdmissionTicket ticket);

    /**
     * Makes room for a request of this account and priority. An important one displaces a normal one if any waits;
     * otherwise the newest request of the account with the most queued for its weight is displaced, if that account
     * has more queued than the arriving one would have.
     * @return the displaced ticket, or nothing if the arriving request has to be refused
     */
    std::optional<AdmissionTicket> displaceFor(const AccountName &account, Priority priority);

    /** Removes all requests whose latest start is at or before @p now. */
    std::vector<QueuedRequest> takeExpired(TimePoint now);

    /** Removes all waiting requests of a priority. */
    std::vector<AdmissionTicket> takeAll(Priority priority);

    /** The earliest latest start of all waiting requests. */
    std::optional<TimePoint> nextExpiry() const;

    std::size_t size() const;
    std::size_t size(Priority priority) const;

    /** Number of requests that start before one of this account and priority that is queued now. */
    std::size_t position(const AccountName &account, Priority priority) const;

private:
    struct Waiting {
        QueuedRequest request;
        bool displaceable = true;
    };
    struct AccountQueue {
        AccountName account;
        double weight = 1.0;
        /** Virtual time at which the next request of this account starts. */
        double startTag = 0;
        std::list<Waiting> requests;
    };
    struct Level {
        std::list<Waiting> front;
        /** Accounts with requests; their number is bounded by the size of the queue. */
        std::vector<AccountQueue> active;
        /** Tags of accounts without requests, so that emptying its queue gives an account no advantage. */
        std::unordered_map<AccountName, double> idleTags;
        double virtualTime = 0;
        std::size_t size = 0;
    };
    struct Location {
        Priority priority;
        AccountName account;
        bool front;
        std::list<Waiting>::iterator it;
        TimePoint latestStart;
    };

    const AccountName &keyOf(const AccountName &account) const;
    Priority levelOf(Priority priority) const;
    Level &level(Priority priority);
    const Level &level(Priority priority) const;
    double weight(const AccountName &account) const;
    AccountQueue &activate(Level &level, const AccountName &account);
    void deactivateIfEmpty(Level &level, const AccountName &account);
    static AccountQueue *find(Level &level, const AccountName &account);
    static const AccountQueue *find(const Level &level, const AccountName &account);
    static AccountQueue *heaviest(Level &level);
    AdmissionTicket takeNewest(AccountQueue &queue);

    FairQueueSettings m_settings;
    std::array<Level, 2> m_levels;
    std::unordered_map<AccountName, double> m_weights;
    std::unordered_map<AdmissionTicket, Location> m_locations;
    std::set<std::pair<TimePoint, AdmissionTicket>> m_expiries;
};

} // namespace Pimentohollow
