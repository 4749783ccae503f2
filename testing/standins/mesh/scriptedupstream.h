#pragma once

#include "async/async.h"
#include "mesh/model/meshsettings.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Pimentohollow::Testing
{

/** How a stand-in for an upstream treats one request. */
enum class UpstreamAct {
    Answer,
    AnswerTwice, ///< a second, unasked answer follows the first
    AnswerWithoutLength, ///< the body ends with the connection
    BreakOff, ///< half of the body, then an end of the connection
    Reset, ///< runs, then resets the connection
    Silence, ///< runs and never answers
    Garbage, ///< bytes that are no answer
    Endless, ///< a beginning, then the same bytes until the caller closes
    Raw, ///< the bytes of the script instead of an answer; the connection stays open
    AnswerAgainLate, ///< a second, unasked answer follows when the connection is in use again
    BreakOffInHead, ///< the status line and whole header lines, then an end of the connection before the end of the head
    Refuse, ///< not run, and says so
    RefuseAgainLate, ///< not run, and says so; says it once more when the connection is in use again
    RefuseAnonymouslyAgainLate, ///< as RefuseAgainLate, but the refusals don't say to which request they belong
    Misdirect, ///< another incarnation has the address
};

struct UpstreamScript {
    UpstreamAct act = UpstreamAct::Answer;
    std::uint16_t status = 200;
    Duration runTime = std::chrono::milliseconds(1);
    /** Added to answers and refusals. */
    std::vector<HttpHeader> headers = {};
    /** What Raw sends and Endless sends once. The id and the stamp are added to the last head in it. */
    std::string beginning = {};
    /** What Endless repeats. */
    std::string repeated = {};
};

/** One request as the upstream got it. */
struct UpstreamRun {
    HttpRequestMessage request;
    TimePoint startedAt{};
    /** When the run ended; nothing while it goes on. */
    std::optional<TimePoint> endedAt;
    /** The caller closed the connection before the end. */
    bool abandoned = false;
};

/** A stand-in for an upstream: an HTTP server that treats each request as its script says and records what it got. */
class ScriptedUpstream
{
public:
    using Script = std::function<UpstreamScript(const HttpRequestMessage &)>;

    ScriptedUpstream(EventLoop &loop, HeaderNames headers, std::string id);
    ~ScriptedUpstream();

    Result<void> listen(const IpEndpoint &address);
    void close();

    void setScript(Script script)
    {
        m_script = std::move(script);
    }

    const std::deque<UpstreamRun> &runs() const
    {
        return m_runs;
    }

    /** Runs of one request id. */
    std::size_t runsOf(const std::string &requestId) const;

    /** Requests that run at this moment, and the most at any moment. */
    std::size_t running() const
    {
        return m_running;
    }

    std::size_t mostRunning() const
    {
        return m_mostRunning;
    }

private:
    void serve(const std::shared_ptr<HttpConnection> &connection);
    /** Sends a refusal; returns false if the connection has failed. */
    bool refuse(HttpConnection &connection, const HttpRequestMessage &request, const UpstreamScript &script);
    bool act(HttpConnection &connection, const HttpRequestMessage &request, const UpstreamScript &script, UpstreamRun &run);
    void sendEndlessly(HttpConnection &connection, const std::string &beginning, const UpstreamScript &script);
    std::string answerBytes(const HttpRequestMessage &request, const UpstreamScript &script) const;

    EventLoop &m_loop;
    HeaderNames m_headers;
    std::string m_id;
    Script m_script;
    AsyncListener m_listener;
    std::deque<UpstreamRun> m_runs;
    std::size_t m_running = 0;
    std::size_t m_mostRunning = 0;
    std::vector<std::weak_ptr<HttpConnection>> m_connections;
    /** Answers and refusals that are sent once more, by their connection. */
    std::map<const HttpConnection *, std::string> m_lateAnswers;
};

} // namespace Pimentohollow::Testing
