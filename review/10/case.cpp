// All processes are killed right after a target has left, while the store turns its machine away and a late status report arrives.
#include "../harness-2/fleet.h"

using namespace Review;

namespace
{

constexpr Millis Deadline(1500);
/** drain=2000ms */
constexpr Millis Drain(2000);
/** stable=3000ms */
constexpr Millis Stable(3000);
constexpr Millis RestartDelay(500);
/** How late the status report is that the target sent before it left. */
constexpr Millis ReportDelay(2000);
/** The target goes on serving for so long after it has left. */
constexpr Millis ServesOn(8000);
constexpr int Requests = 10;

constexpr const char *Routes =
    R"({"name":"browse","host":"shop.example","prefix":"/browse/","kind":"safe","timeout":"800ms","slo":"1500ms","priority":0,"service":"catalogue","maxAttempts":2,"public":true})";

bool run(Record &record, bool trouble)
{
    Deployment deployment(4, { "catalogue", "front", "other", "last" });
    const auto entrance = deployment.giveEntrance(0);
    deployment.configure(7, Routes);
    if (!deployment.startAll()) {
        throw std::runtime_error("the nodes aren't ready");
    }
    std::mutex mutex;
    std::map<std::string, Clock::time_point> arrivals;
    const Run work = [&](Connection &connection, const Message &request) {
        const std::string id = request.header("X-Request-Id");
        {
            const std::lock_guard lock(mutex);
            arrivals.emplace(id, Clock::now());
        }
        record("target: runs " + id);
        return connection.write(response(200, "design", Upstream::answerHeaders(request)));
    };
    std::vector<std::unique_ptr<Upstream>> upstreams;
    for (std::size_t n = 0; n < deployment.size(); ++n) {
        upstreams.push_back(std::make_unique<Upstream>(deployment.node(n), "i-" + std::to_string(n), record, work));
    }
    sleepFor(Millis(2500));
    auto &node = deployment.node(0);
    auto &target = *upstreams[0];
    const auto ask = [&](const std::string &id) {
        Attempt attempt{ id, 0, {}, {}, "no connection" };
        const auto sentAt = Clock::now();
        if (auto connection = Connection::open(node.address("outbound"))) {
            connection->write(requestText("GET", "/browse/x", "shop.example", id, Deadline));
            attempt = readAnswer(*connection, id, Clock::now() + Deadline);
        }
        record(describe(attempt));
        return sentAt;
    };
    ask("before");
    if (!arrivals.contains("before")) {
        throw std::runtime_error("a request before the departure didn't run");
    }

    target.stopReports();
    const int lateSequence = target.nextSequence();
    const auto reportedAt = Clock::now();
    const int acknowledged = target.send("deregister", {}, target.nextSequence());
    const auto leftAt = Clock::now();
    record("target: i-0 deregistered, status " + std::to_string(acknowledged));
    if (acknowledged / 100 != 2) {
        throw std::runtime_error("the departure wasn't acknowledged");
    }
    sleepFor(Millis(200));
    if (trouble) {
        deployment.store().setDown(entrance, true);
        record("platform: the store answers " + node.name() + " with 503 from now on");
        for (std::size_t n = 0; n < deployment.size(); ++n) {
            deployment.node(n).signal(SIGKILL);
        }
        record("platform: all processes are killed");
        sleepFor(RestartDelay);
        for (std::size_t n = 0; n < deployment.size(); ++n) {
            deployment.node(n).awaitEnd(Millis(1000));
            deployment.node(n).start();
        }
        record("platform: all processes are started again");
    }
    std::this_thread::sleep_until(reportedAt + ReportDelay);
    record("target: the status report from before the departure arrives late, status "
           + std::to_string(target.send("heartbeat", "ready", lateSequence)));
    std::this_thread::sleep_until(leftAt + RestartDelay + Stable + Millis(1500));
    int broken = 0;
    for (int n = 0; n < Requests && Clock::now() < leftAt + ServesOn; ++n) {
        const std::string id = "after-" + std::to_string(n);
        const auto sentAt = ask(id);
        const std::lock_guard lock(mutex);
        // DRAIN: a request that is taken from the client later than `drain` after the acknowledgement reaches the target.
        broken += arrivals.contains(id) && sentAt > leftAt + Drain ? 1 : 0;
    }
    record(std::to_string(broken) + " of " + std::to_string(Requests) + " requests reached a target that had left");
    return broken > 0;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc > 1 ? argv[1] : ".", run);
}
