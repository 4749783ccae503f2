#pragma once

#include "async/async.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Pimentohollow::Testing
{

/** What goes wrong at the store. */
struct RowStoreFaults {
    /** Answers every call with 503. */
    bool down = false;
    /** Answers reads with 429, as when too many nodes read at once, and performs writes. */
    bool refusesReads = false;
    /** Takes connections and calls, and never answers. */
    bool silent = false;
    /** Does writes and doesn't answer them. */
    bool losesAnswers = false;
    /** Every call takes so much longer. */
    Duration delay{};
    /** Feeds get 410. */
    bool historyGone = false;
    /** Rows in one answer of a read; 0 for no limit. */
    std::size_t rowsPerPage = 0;
};

/** A stand-in for the platform's store of rows: get, feed and transactions over HTTP with JSON, as the platform's pages describe them. */
class RowStore
{
public:
    explicit RowStore(EventLoop &loop);

    Result<void> listen(const IpEndpoint &address);

    std::uint16_t port() const
    {
        return m_server.port();
    }

    /** Opens another address for the callers of one node, which can be left unanswered on their own. Returns its port, or 0 if it can't be
     * opened. */
    std::uint16_t addEntrance();
    /** Leaves open and new calls to an address without an answer, or answers new ones again. */
    void setUnanswered(std::uint16_t port, bool unanswered);
    /** Never answers the calls that are open now, like connections that have gone silent; new ones are answered. */
    void abandonOpenCalls()
    {
        m_lastAbandonedCall = m_calls;
    }

    /** Writes a row as the operator does. */
    void put(const std::string &table, const std::string &key, const std::string &value);
    /** The value of a row, or nothing. */
    std::optional<std::string> value(const std::string &table, const std::string &key) const;
    void remove(const std::string &table, const std::string &key);
    /**
     * Brings the rows back as they were @p age ago and starts a new era. Versions that were given out since are given out again, and feeds
     * that are open go on waiting after the version they have named.
     */
    void restore(Duration age);
    /** Writes rows of a table that nodes don't read until the store's version is at least @p version. */
    void fillUpTo(std::uint64_t version);

    std::uint64_t version() const
    {
        return m_version;
    }

    std::uint64_t era() const
    {
        return m_era;
    }

    /** Writes a row whose value isn't valid Base64. */
    void putUnreadable(const std::string &table, const std::string &key);

    RowStoreFaults &faults()
    {
        return m_faults;
    }

    /** Answers to feeds of a table that carried rows. */
    std::size_t feedsWithRows(const std::string &table) const
    {
        const auto found = m_feedsWithRows.find(table);
        return found == m_feedsWithRows.end() ? 0 : found->second;
    }

    /** Calls of any kind since the start. */
    std::size_t calls() const
    {
        return m_calls;
    }

private:
    struct Row {
        std::string value;
        std::uint64_t version = 0;
    };
    struct Change {
        std::uint64_t version = 0;
        std::string table;
        std::string key;
        std::string value;
        bool removed = false;
        TimePoint at{};
    };
    using RowKey = std::pair<std::string, std::string>;
    /** A call in progress: its position in the order of all calls, and the entrance through which it came. */
    struct Call {
        std::size_t number = 0;
        std::size_t entrance = 0;
    };

    HttpResponseMessage handle(const HttpRequestMessage &request, std::size_t entrance);
    HttpResponseMessage answer(const HttpRequestMessage &request, const Call &call);
    HttpResponseMessage get(const std::map<std::string, std::string> &query) const;
    HttpResponseMessage feed(const Call &call, const std::map<std::string, std::string> &query);
    /** Waits for as long as a test may last if the call is to get no answer. */
    void awaitAnswer(const Call &call);
    HttpResponseMessage transact(const std::string &body);

    EventLoop &m_loop;
    HttpServer m_server;
    /** Entrance 0 is m_server; entrance n is the element before n. */
    std::vector<std::unique_ptr<HttpServer>> m_entrances;
    std::set<std::size_t> m_unansweredEntrances;
    std::size_t m_lastAbandonedCall = 0;
    RowStoreFaults m_faults;
    std::uint64_t m_version = 1;
    std::uint64_t m_era = 1;
    std::string encodedValue(const RowKey &key) const;

    std::map<RowKey, Row> m_rows;
    std::set<RowKey> m_unreadableRows;
    std::vector<Change> m_changes;
    std::size_t m_calls = 0;
    std::map<std::string, std::size_t> m_feedsWithRows;
};

} // namespace Pimentohollow::Testing
