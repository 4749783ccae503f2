// A node restarts. The first that it hears of its target is the deregistration, which it acknowledges; then a status report that the target
// sent earlier arrives. The target must not get requests later than the drain time after the acknowledgement.

#include "../harness/deployment.h"

namespace
{

using namespace Review;

constexpr const char *Host = "orders.example";
constexpr Milliseconds Drain(2000);
/** A machine is in touch again this long after its process started. */
constexpr Milliseconds Stable(3000);
/** Pause before the platform starts a process that was killed. */
constexpr Milliseconds RestartDelay(300);
/** How late the status report arrives. */
constexpr Milliseconds ReportDelay(2500);
/** How long the target serves after the acknowledgement. */
constexpr Milliseconds ServeTime(10'000);
constexpr Milliseconds RunTime(150);
/** Callers that send one order after the other. */
constexpr std::size_t Clients = 16;
constexpr Milliseconds CallerTimeout(3000);
constexpr int Ok = 200;
/** Late runs that are recorded one by one. */
constexpr int MostRecorded = 20;

/** Runs each request for a short time and records which requests it ran. */
class RecordingTarget
{
public:
    bool serve(Connection &connection, HttpMessage &request)
    {
        connection.readBody(request, TimePoint::max());
        const std::string id = request.header("X-Request-Id");
        {
            const std::lock_guard lock(m_mutex);
            m_runs.push_back(id);
        }
        std::this_thread::sleep_for(RunTime);
        return connection.send(serialize("HTTP/1.1 200 OK", { { "X-Request-Id", id }, { "X-Server-Stamp", "stamp." + id } }, "done"));
    }

    std::vector<std::string> runs()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    std::mutex m_mutex;
    std::vector<std::string> m_runs;
};

Verdict run(Record &record, const std::string &folder)
{
    RecordingTarget leaving;
    RecordingTarget staying;
    const auto behaviourOf = [](RecordingTarget &target) {
        return [&target](Connection &connection, HttpMessage &request) {
            return target.serve(connection, request);
        };
    };
    constexpr std::size_t LeavingMachine = 0;
    Deployment deployment({ { "orders-a", "a", "orders", 20, behaviourOf(leaving) },
                            { "orders-b", "b", "orders", 20, behaviourOf(staying) },
                            { "shop-a", "a", "shop", 20, behaviourOf(staying) } },
                          { { "place-order", Host, "orders", false, "2000ms" } },
                          folder);
    deployment.start();

    // Requests come in at the two machines that stay undisturbed.
    std::atomic<bool> stopped{ false };
    std::mutex mutex;
    std::map<std::string, TimePoint> sentAt;
    std::map<std::string, int> results;
    std::vector<std::thread> clients;
    for (std::size_t n = 0; n < Clients; ++n) {
        clients.emplace_back([&, machine = 1 + n % (deployment.size() - 1)] {
            while (!stopped) {
                const std::string id = newRequestId();
                {
                    const std::lock_guard lock(mutex);
                    sentAt[id] = Clock::now();
                }
                const auto answer = exchange(deployment.node(machine).setup().callerPort,
                                             "POST /orders/1 HTTP/1.1",
                                             { { "Host", Host }, { "X-Request-Id", id }, { "X-Deadline-Ms", "2000" } },
                                             "order",
                                             CallerTimeout);
                const std::lock_guard lock(mutex);
                ++results[answer ? std::to_string(answer->status()) + ' ' + answer->body : "no answer"];
            }
        });
    }
    std::this_thread::sleep_for(Stable);

    auto &target = deployment.target(LeavingMachine);
    auto &node = deployment.node(LeavingMachine);
    target.stopReports();
    const std::uint64_t lateSequence = target.nextSequence();
    const TimePoint reportedAt = Clock::now();
    TimePoint restartedAt = Clock::now() - Stable;
    if (hasTrouble()) {
        record.add("target: sends status report " + std::to_string(lateSequence) + ", ready, which is delayed");
        node.kill();
        record.add("platform: killed the node beside the target");
        std::this_thread::sleep_for(RestartDelay);
        node.start();
        restartedAt = Clock::now();
        record.add("platform: started it again");
    }
    int acknowledged = 0;
    while (acknowledged != Ok && Clock::now() < restartedAt + Stable + Drain) {
        acknowledged = target.deregister();
        std::this_thread::sleep_for(Milliseconds(20));
    }
    const TimePoint acknowledgedAt = Clock::now();
    record.add("target: deregisters, answer " + std::to_string(acknowledged));
    std::this_thread::sleep_until(reportedAt + ReportDelay);
    if (hasTrouble()) {
        const int status = target.report(lateSequence);
        record.add("target: status report " + std::to_string(lateSequence) + " arrives, answer " + std::to_string(status));
    }
    std::this_thread::sleep_until(acknowledgedAt + ServeTime);
    target.close();
    record.add("target: ends");
    std::this_thread::sleep_for(RunTime * 2);
    stopped = true;
    for (auto &it : clients) {
        it.join();
    }

    const TimePoint countedFrom = std::max(acknowledgedAt + Drain, restartedAt + Stable);
    int before = 0;
    int late = 0;
    for (const auto &id : leaving.runs()) {
        const TimePoint at = sentAt.at(id);
        before += at < reportedAt ? 1 : 0;
        if (at <= countedFrom) {
            continue;
        }
        ++late;
        const auto after = std::chrono::duration_cast<Milliseconds>(at - acknowledgedAt).count();
        if (late <= MostRecorded) {
            record.add("target: ran " + id + ", which was sent " + std::to_string(after) + " ms after the acknowledgement");
        }
    }
    for (const auto &[result, count] : results) {
        record.add("clients: " + result + ": " + std::to_string(count));
    }
    record.add("run by the target before: " + std::to_string(before));
    record.add("run by the target later than the drain time after its acknowledged deregistration: " + std::to_string(late));
    if (acknowledged != Ok || before == 0) {
        return Verdict::NotRun;
    }
    return late > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main()
{
    return runCase(run);
}
