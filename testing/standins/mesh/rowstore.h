#pragma once

#include "async/async.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Pimentohollow::Testing
{

/** What goes wrong at the store. */
struct RowStoreFaults {
    /** Answers every call with 503. */
    bool down = false;
    /** Takes connections and calls, and never answers. */
    bool silent = false;
    /** Does writes and doesn't answer them. */
    bool losesAnswers = false;
    /** Every call takes so much longer. */
    Duration delay{};
    /** Feeds get 410. */
    bool historyGone = false;
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

    /** Writes a row as the operator does. */
    void put(const std::string &table, const std::string &key, const std::string &value);
    /** The value of a row, or nothing. */
    std::optional<std::string> value(const std::string &table, const std::string &key) const;
    void remove(const std::string &table, const std::string &key);

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
        bool removed = false;
    };
    using RowKey = std::pair<std::string, std::string>;

    HttpResponseMessage handle(const HttpRequestMessage &request);
    HttpResponseMessage get(const std::map<std::string, std::string> &query) const;
    HttpResponseMessage feed(const std::map<std::string, std::string> &query);
    HttpResponseMessage transact(const std::string &body);

    EventLoop &m_loop;
    HttpServer m_server;
    RowStoreFaults m_faults;
    std::uint64_t m_version = 1;
    std::map<RowKey, Row> m_rows;
    std::vector<Change> m_changes;
    std::size_t m_calls = 0;
    std::map<std::string, std::size_t> m_feedsWithRows;
};

} // namespace Pimentohollow::Testing
