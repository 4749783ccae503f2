// Nodes are restarted with settings that hold a time with a fraction.
#include "../harness-2/fleet.h"

using namespace Review;

namespace
{

/** The same time in two notations that the page on the protocol gives for the settings file. */
constexpr const char *WholeTime = "1500ms";
constexpr const char *FractionalTime = "1.5s";
constexpr Millis Deadline(5000);
/** The platform restarts a process that ends, after a short delay. */
constexpr Millis RestartDelay(500);
constexpr int Starts = 3;
constexpr Millis ReadyTime(8000);

constexpr const char *Routes =
    R"({"name":"browse","host":"shop.example","prefix":"/browse/","kind":"safe","timeout":"800ms","slo":"1500ms","priority":0,"service":"catalogue","maxAttempts":2,"public":true})";

/** Starts the node until it stays up, as the platform does; returns how often it ended by itself before it was ready. */
int startUntilReady(Node &node, Record &record)
{
    for (int start = 1; start <= Starts; ++start) {
        sleepFor(RestartDelay);
        node.start();
        record("platform: starts " + node.name() + " with heartbeat " + node.settings().textOf("heartbeat"));
        const auto deadline = Clock::now() + ReadyTime;
        while (!node.ended() && !node.isReady() && Clock::now() < deadline) {
            sleepFor(Millis(50));
        }
        if (!node.ended()) {
            record("platform: " + node.name() + (node.isReady() ? " is ready" : " isn't ready"));
            return start - 1;
        }
        record("platform: " + node.name() + " ended by itself, " + node.endText());
    }
    return Starts;
}

Attempt ask(Node &entry, const std::string &id, Record &record)
{
    Attempt attempt{ id, 0, {}, {}, "no connection" };
    if (auto connection = Connection::open(entry.address("outbound"))) {
        connection->write(requestText("GET", "/browse/x", "shop.example", id, Deadline));
        attempt = readAnswer(*connection, id, Clock::now() + Deadline);
    }
    record(describe(attempt));
    return attempt;
}

bool run(Record &record, bool trouble)
{
    Deployment deployment(2, { "front", "catalogue" });
    deployment.configure(7, Routes);
    if (!deployment.startAll()) {
        throw std::runtime_error("the nodes aren't ready");
    }
    const Run work = [&](Connection &connection, const Message &request) {
        record("upstream: runs " + request.header("X-Request-Id"));
        return connection.write(response(200, "design", Upstream::answerHeaders(request)));
    };
    Upstream front(deployment.node(0), "i-front", record, work);
    Upstream catalogue(deployment.node(1), "i-catalogue", record, work);
    sleepFor(Millis(2000));
    if (ask(deployment.node(0), "before", record).status != 200) {
        throw std::runtime_error("a request before the change failed");
    }

    for (std::size_t n = 0; n < deployment.size(); ++n) {
        auto &node = deployment.node(n);
        node.settings()["heartbeat"].text = trouble ? FractionalTime : WholeTime;
        node.writeSettings();
        node.signal(SIGHUP);
        record("platform: new settings and SIGHUP for " + node.name() + ", heartbeat " + node.settings().textOf("heartbeat"));
    }
    sleepFor(Millis(2500));
    int failures = 0;
    int failing = 0;
    for (std::size_t n = 0; n < deployment.size(); ++n) {
        auto &node = deployment.node(n);
        node.signal(SIGTERM);
        record("platform: SIGTERM to " + node.name());
        if (!node.awaitEnd(Millis(6000))) {
            node.signal(SIGKILL);
            node.awaitEnd(Millis(1000));
        }
        const int ends = startUntilReady(node, record);
        failures += ends;
        failing += ends > 0 ? 1 : 0;
    }
    sleepFor(Millis(2000));
    const Attempt after = ask(deployment.node(0), "after", record);
    record(std::to_string(failing) + " of 2 nodes didn't start, " + std::to_string(failures) + " ends by themselves");
    // Fault: a program doesn't start.
    return failing > 0 && after.status != 200;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc > 1 ? argv[1] : ".", run);
}
