#include "standins/mesh/scriptedupstream.h"

#include "http/reading/requestreader.h"
#include "http/server/messagewriter.h"

#include <algorithm>

namespace Pimentohollow::Testing
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint16_t ServiceUnavailable = 503;
constexpr std::uint16_t Misdirected = 421;
constexpr Duration LongSilence = 1h;
constexpr Duration IdleTime = 10s;

bool isRefusal(UpstreamAct act)
{
    return act == UpstreamAct::Refuse || act == UpstreamAct::RefuseAgainLate || act == UpstreamAct::RefuseAnonymouslyAgainLate
        || act == UpstreamAct::Misdirect;
}

/** Adds the headers of a proper answer, but for its framing, to the last head in @p bytes. */
std::string withHeadersOf(const std::string &answer, std::string bytes)
{
    const auto statusLine = bytes.rfind("HTTP/1.1 ");
    if (statusLine != std::string::npos) {
        const auto start = answer.find("\r\n") + 2;
        bytes.insert(bytes.find("\r\n", statusLine) + 2, answer.substr(start, answer.find("Content-Length") - start));
    }
    return bytes;
}

} // namespace

ScriptedUpstream::ScriptedUpstream(EventLoop &loop, HeaderNames headers, std::string id)
    : m_loop(loop)
    , m_headers(std::move(headers))
    , m_id(std::move(id))
    , m_listener(loop, [this](std::unique_ptr<AsyncSocket> socket) {
        auto connection = std::make_shared<HttpConnection>(std::move(socket));
        m_connections.push_back(connection);
        m_loop.spawn([this, connection] {
            serve(connection);
        });
    })
{
}

ScriptedUpstream::~ScriptedUpstream() = default;

Result<void> ScriptedUpstream::listen(const IpEndpoint &address)
{
    return m_listener.listen(address);
}

void ScriptedUpstream::close()
{
    m_listener.close();
    for (const auto &it : m_connections) {
        if (const auto connection = it.lock()) {
            connection->socket().reset();
        }
    }
    m_connections.clear();
}

std::size_t ScriptedUpstream::runsOf(const std::string &requestId) const
{
    return static_cast<std::size_t>(std::count_if(m_runs.begin(), m_runs.end(), [&](const UpstreamRun &it) {
        const auto *id = findHeader(it.request.headers, m_headers.requestId);
        return id != nullptr && *id == requestId;
    }));
}

void ScriptedUpstream::serve(const std::shared_ptr<HttpConnection> &connection)
{
    const RequestLimits limits;
    while (connection->stream().waitForData(m_loop.clock().now() + IdleTime)) {
        RequestReader reader(connection->stream(), limits, [] {});
        const auto received = reader.read();
        if (!received) {
            return;
        }
        const auto script = m_script ? m_script(received->message) : UpstreamScript{};
        if (const auto late = m_lateAnswers.extract(connection.get())) {
            (void)connection->socket().writeAll(late.mapped(), m_loop.clock().now() + IdleTime);
        }
        if (isRefusal(script.act)) {
            if (!refuse(*connection, received->message, script)) {
                return;
            }
            continue;
        }
        m_runs.push_back({ received->message, m_loop.now(), std::nullopt, false });
        auto &run = m_runs.back();
        m_mostRunning = std::max(m_mostRunning, ++m_running);
        const bool goesOn = act(*connection, received->message, script, run);
        --m_running;
        run.endedAt = m_loop.clock().now();
        if (!goesOn) {
            return;
        }
    }
}

bool ScriptedUpstream::refuse(HttpConnection &connection, const HttpRequestMessage &request, const UpstreamScript &script)
{
    HttpResponseMessage response;
    response.status = script.act == UpstreamAct::Misdirect ? Misdirected : ServiceUnavailable;
    response.headers.push_back({ m_headers.notRun, "1" });
    response.headers.push_back({ m_headers.upstreamId, m_id });
    if (script.act != UpstreamAct::RefuseAnonymouslyAgainLate) {
        const auto *id = findHeader(request.headers, m_headers.requestId);
        response.headers.push_back({ m_headers.requestId, id == nullptr ? "" : *id });
    }
    response.headers.insert(response.headers.end(), script.headers.begin(), script.headers.end());
    const std::string bytes = serializeResponse(response, true, false);
    if (script.act == UpstreamAct::RefuseAgainLate || script.act == UpstreamAct::RefuseAnonymouslyAgainLate) {
        m_lateAnswers[&connection] = bytes;
    }
    return connection.socket().writeAll(bytes, m_loop.clock().now() + IdleTime).has_value();
}

bool ScriptedUpstream::act(HttpConnection &connection, const HttpRequestMessage &request, const UpstreamScript &script, UpstreamRun &run)
{
    const TimePoint end = m_loop.clock().now() + (script.act == UpstreamAct::Silence ? LongSilence : script.runTime);
    // The stream has nothing to read until the next request, so that data or an end before it means that the caller has left.
    const auto early = connection.stream().waitForData(end);
    if (early || early.error() != ReadError::Timeout) {
        run.abandoned = true;
        return false;
    }
    const TimePoint deadline = m_loop.clock().now() + IdleTime;
    const std::string bytes = answerBytes(request, script);
    switch (script.act) {
    case UpstreamAct::Answer:
        return connection.socket().writeAll(bytes, deadline).has_value();
    case UpstreamAct::AnswerTwice:
        return connection.socket().writeAll(bytes + bytes, deadline).has_value();
    case UpstreamAct::AnswerAgainLate:
        m_lateAnswers[&connection] = bytes;
        return connection.socket().writeAll(bytes, deadline).has_value();
    case UpstreamAct::Endless:
        sendEndlessly(connection, withHeadersOf(bytes, script.beginning), script);
        return false;
    case UpstreamAct::Raw:
        return connection.socket().writeAll(withHeadersOf(bytes, script.beginning), deadline).has_value();
    case UpstreamAct::AnswerWithoutLength: {
        std::string open = bytes;
        const auto start = open.find("Content-Length");
        open.erase(start, open.find("\r\n", start) + 2 - start);
        (void)connection.socket().writeAll(open, deadline);
        connection.socket().close();
        return false;
    }
    case UpstreamAct::BreakOff:
        (void)connection.socket().writeAll(std::string_view(bytes).substr(0, bytes.size() - 3), deadline);
        connection.socket().close();
        return false;
    case UpstreamAct::BreakOffInHead:
        // The last header line is complete, the blank line that ends the head is missing.
        (void)connection.socket().writeAll(std::string_view(bytes).substr(0, bytes.find("\r\n\r\n") + 2), deadline);
        connection.socket().close();
        return false;
    case UpstreamAct::Garbage:
        (void)connection.socket().writeAll("\x01\x02 no answer\r\n\r\n", deadline);
        return true;
    default:
        connection.socket().reset();
        return false;
    }
}

void ScriptedUpstream::sendEndlessly(HttpConnection &connection, const std::string &beginning, const UpstreamScript &script)
{
    constexpr std::size_t BlockBytes = std::size_t{ 16 } * 1024;
    std::string block;
    while (block.size() < BlockBytes) {
        block += script.repeated;
    }
    // Bounded, so that a caller that never closes fails the test instead of filling the memory.
    constexpr std::size_t MostBytes = std::size_t{ 512 } * 1024 * 1024;
    bool open = connection.socket().writeAll(beginning, m_loop.clock().now() + IdleTime).has_value();
    for (std::size_t sent = 0; open && sent < MostBytes; sent += block.size()) {
        open = connection.socket().writeAll(block, m_loop.clock().now() + IdleTime).has_value();
        m_loop.sleepFor(std::chrono::microseconds(200));
    }
}

std::string ScriptedUpstream::answerBytes(const HttpRequestMessage &request, const UpstreamScript &script) const
{
    HttpResponseMessage response;
    response.status = script.status;
    const auto *id = findHeader(request.headers, m_headers.requestId);
    response.headers.push_back({ m_headers.requestId, id == nullptr ? "" : *id });
    response.headers.push_back({ m_headers.stamp, "stamp-of-" + m_id });
    response.headers.insert(response.headers.end(), script.headers.begin(), script.headers.end());
    response.body = "answer to " + request.target;
    return serializeResponse(response, true, false);
}

} // namespace Pimentohollow::Testing
