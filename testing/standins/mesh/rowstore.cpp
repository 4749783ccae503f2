#include "standins/mesh/rowstore.h"

#include "http/rules/base64.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>
#include <set>
#include <sstream>

namespace Pimentohollow::Testing
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint16_t Success = 200;
constexpr std::uint16_t NotFound = 404;
constexpr std::uint16_t Gone = 410;
constexpr std::uint16_t PreconditionFailed = 412;
constexpr std::uint16_t TooManyRequests = 429;
constexpr std::uint16_t ServiceUnavailable = 503;
constexpr Duration FeedPause = 5ms;
constexpr Duration LongSilence = 1h;

HttpResponseMessage jsonResponse(const Poco::JSON::Object &object)
{
    std::ostringstream out;
    object.stringify(out);
    auto response = textResponse(Success, out.str());
    response.headers = { { "Content-Type", "application/json" } };
    return response;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> result;
    for (const auto &[name, value] : Poco::URI(target).getQueryParameters()) {
        result[name] = value;
    }
    return result;
}

std::pair<std::string, std::string> keyOf(const Poco::JSON::Object::Ptr &row)
{
    return { row->getValue<std::string>("table"), row->getValue<std::string>("key") };
}

} // namespace

RowStore::RowStore(EventLoop &loop)
    : m_loop(loop)
    , m_server(loop, [this](const HttpRequestMessage &request) {
        return handle(request, 0);
    })
{
}

Result<void> RowStore::listen(const IpEndpoint &address)
{
    return m_server.listen(address);
}

std::uint16_t RowStore::addEntrance()
{
    const std::size_t entrance = m_entrances.size() + 1;
    m_entrances.push_back(std::make_unique<HttpServer>(m_loop, [this, entrance](const HttpRequestMessage &request) {
        return handle(request, entrance);
    }));
    return m_entrances.back()->listen({ "127.0.0.1", 0 }) ? m_entrances.back()->port() : 0;
}

void RowStore::setUnanswered(std::uint16_t port, bool unanswered)
{
    for (std::size_t n = 0; n < m_entrances.size(); ++n) {
        if (m_entrances[n]->port() != port) {
            continue;
        }
        if (unanswered) {
            m_unansweredEntrances.insert(n + 1);
        } else {
            m_unansweredEntrances.erase(n + 1);
        }
    }
}

void RowStore::awaitAnswer(const Call &call)
{
    if (m_faults.silent || call.number <= m_lastAbandonedCall || m_unansweredEntrances.contains(call.entrance)) {
        m_loop.sleepFor(LongSilence);
    }
}

void RowStore::put(const std::string &table, const std::string &key, const std::string &value)
{
    m_rows[{ table, key }] = { value, ++m_version };
    m_changes.push_back({ m_version, table, key, value, false, m_loop.clock().now() });
}

std::optional<std::string> RowStore::value(const std::string &table, const std::string &key) const
{
    const auto found = m_rows.find({ table, key });
    return found == m_rows.end() ? std::nullopt : std::optional(found->second.value);
}

void RowStore::remove(const std::string &table, const std::string &key)
{
    if (m_rows.erase({ table, key }) != 0) {
        m_changes.push_back({ ++m_version, table, key, {}, true, m_loop.clock().now() });
    }
}

void RowStore::restore(Duration age)
{
    const TimePoint copiedAt = m_loop.clock().now() - age;
    std::erase_if(m_changes, [copiedAt](const Change &it) {
        return it.at > copiedAt;
    });
    m_rows.clear();
    m_version = 1;
    for (const auto &it : m_changes) {
        m_version = it.version;
        if (it.removed) {
            m_rows.erase({ it.table, it.key });
        } else {
            m_rows[{ it.table, it.key }] = { it.value, it.version };
        }
    }
    ++m_era;
}

void RowStore::fillUpTo(std::uint64_t version)
{
    while (m_version < version) {
        put("other", "row", {});
    }
}

void RowStore::putUnreadable(const std::string &table, const std::string &key)
{
    m_unreadableRows.insert({ table, key });
    put(table, key, {});
}

std::string RowStore::encodedValue(const RowKey &key) const
{
    return m_unreadableRows.contains(key) ? "*" : encodeBase64(m_rows.at(key).value);
}

HttpResponseMessage RowStore::handle(const HttpRequestMessage &request, std::size_t entrance)
{
    auto response = answer(request, { ++m_calls, entrance });
    response.headers.push_back({ "Store-Era", std::to_string(m_era) });
    return response;
}

HttpResponseMessage RowStore::answer(const HttpRequestMessage &request, const Call &call)
{
    awaitAnswer(call);
    if (m_faults.delay > Duration::zero()) {
        m_loop.sleepFor(m_faults.delay);
    }
    if (m_faults.down) {
        return textResponse(ServiceUnavailable);
    }
    if (m_faults.refusesReads && request.method == "GET") {
        return textResponse(TooManyRequests);
    }
    if (request.target.starts_with("/rows-get?")) {
        return get(queryOf(request.target));
    }
    if (request.target.starts_with("/rows-feed?")) {
        return feed(call, queryOf(request.target));
    }
    if (request.target == "/rows-tx") {
        auto response = transact(request.body);
        if (m_faults.losesAnswers) {
            m_loop.sleepFor(LongSilence);
        }
        return response;
    }
    return textResponse(NotFound);
}

HttpResponseMessage RowStore::get(const std::map<std::string, std::string> &query) const
{
    Poco::JSON::Array rows;
    bool hasMore = false;
    for (const auto &[key, row] : m_rows) {
        if (key.first != query.at("table") || key.second < query.at("from")) {
            continue;
        }
        if (m_faults.rowsPerPage > 0 && rows.size() == m_faults.rowsPerPage) {
            hasMore = true;
            break;
        }
        Poco::JSON::Object::Ptr object = new Poco::JSON::Object; // NOLINT(cppcoreguidelines-owning-memory) owned by Poco's pointer
        object->set("table", key.first);
        object->set("part", "");
        object->set("key", key.second);
        object->set("value", encodedValue(key));
        object->set("ver", row.version);
        rows.add(object);
    }
    Poco::JSON::Object body;
    body.set("rows", rows);
    body.set("hasMore", hasMore);
    body.set("ver", m_version);
    return jsonResponse(body);
}

HttpResponseMessage RowStore::feed(const Call &call, const std::map<std::string, std::string> &query)
{
    const std::uint64_t after = std::stoull(query.at("after"));
    const TimePoint end = m_loop.clock().now() + std::chrono::milliseconds(std::stoll(query.at("waitMs")));
    while (true) {
        awaitAnswer(call);
        if (m_faults.historyGone || after > m_version) {
            return textResponse(Gone);
        }
        if (m_faults.down) {
            return textResponse(ServiceUnavailable);
        }
        Poco::JSON::Array rows;
        std::set<std::string> seen;
        for (auto it = m_changes.rbegin(); it != m_changes.rend() && it->version > after; ++it) {
            if (it->table != query.at("table") || !seen.insert(it->key).second) {
                continue;
            }
            Poco::JSON::Object::Ptr object = new Poco::JSON::Object; // NOLINT(cppcoreguidelines-owning-memory) owned by Poco's pointer
            object->set("table", it->table);
            object->set("part", "");
            object->set("key", it->key);
            object->set("ver", it->version);
            if (it->removed) {
                object->set("removed", true);
            } else {
                object->set("value", encodedValue({ it->table, it->key }));
            }
            rows.add(object);
        }
        if (rows.size() > 0) {
            ++m_feedsWithRows[query.at("table")];
        }
        if (rows.size() > 0 || m_loop.clock().now() >= end) {
            Poco::JSON::Object body;
            body.set("rows", rows);
            body.set("ver", m_version);
            return jsonResponse(body);
        }
        m_loop.sleepFor(FeedPause);
    }
}

HttpResponseMessage RowStore::transact(const std::string &body)
{
    Poco::JSON::Parser parser;
    const auto object = parser.parse(body).extract<Poco::JSON::Object::Ptr>();
    const auto conditions = object->getArray("expectedRev");
    for (unsigned n = 0; n < conditions->size(); ++n) {
        const auto condition = conditions->getObject(n);
        const auto found = m_rows.find(keyOf(condition));
        const std::uint64_t version = found == m_rows.end() ? 0 : found->second.version;
        if (version != condition->getValue<std::uint64_t>("ver")) {
            return textResponse(PreconditionFailed, R"({"rows":[]})");
        }
    }
    const auto puts = object->getArray("puts");
    for (unsigned n = 0; n < puts->size(); ++n) {
        const auto row = puts->getObject(n);
        put(keyOf(row).first, keyOf(row).second, decodeBase64(row->getValue<std::string>("value")));
    }
    const auto removals = object->getArray("remove");
    for (unsigned n = 0; n < removals->size(); ++n) {
        const auto key = keyOf(removals->getObject(n));
        remove(key.first, key.second);
    }
    Poco::JSON::Object answer;
    answer.set("ver", m_version);
    return jsonResponse(answer);
}

} // namespace Pimentohollow::Testing
