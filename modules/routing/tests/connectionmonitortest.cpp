#include "routing/routing.h"

#include <gtest/gtest.h>

using namespace Pimentohollow;

struct ConnectionCase {
    const char *name;
    std::vector<ConnectionInput> inputs;
    std::vector<std::size_t> actions;
};

class ConnectionTest : public testing::TestWithParam<ConnectionCase>
{
};

// Guards against a verdict on the upstream because one connection went silent, and against reuse of that connection.
TEST_P(ConnectionTest, TriesANewConnectionFirst)
{
    ConnectionMonitor monitor;
    std::vector<std::size_t> actions;
    for (const auto &it : GetParam().inputs) {
        if (const auto action = monitor.onInput(it)) {
            actions.push_back(action->index());
        }
    }
    EXPECT_EQ(actions, GetParam().actions);
}

namespace
{

template <typename Action>
const std::size_t IndexOf = ConnectionAction(Action{}).index();

} // namespace

INSTANTIATE_TEST_SUITE_P(
    Sequences,
    ConnectionTest,
    testing::Values(
        ConnectionCase{
            "silent", { HeartbeatMissed{}, NewConnectionOk{} }, { IndexOf<ReplaceConnection>, IndexOf<ReportSilentConnection> } },
        ConnectionCase{ "dead", { HeartbeatMissed{}, NewConnectionFailed{} }, { IndexOf<ReplaceConnection>, IndexOf<ReportUnreachable> } },
        ConnectionCase{ "lateHeartbeat", { HeartbeatMissed{}, HeartbeatAnswered{} }, { IndexOf<ReplaceConnection> } },
        ConnectionCase{ "missedTwice", { HeartbeatMissed{}, HeartbeatMissed{} }, { IndexOf<ReplaceConnection> } },
        ConnectionCase{ "back",
                        { HeartbeatMissed{}, NewConnectionFailed{}, RetryDue{}, NewConnectionFailed{}, RetryDue{}, NewConnectionOk{} },
                        { IndexOf<ReplaceConnection>,
                          IndexOf<ReportUnreachable>,
                          IndexOf<OpenConnection>,
                          IndexOf<TryAgainLater>,
                          IndexOf<OpenConnection>,
                          IndexOf<ReportReachable> } },
        ConnectionCase{ "idle", { HeartbeatAnswered{}, NewConnectionOk{}, NewConnectionFailed{}, RetryDue{} }, {} }),
    [](const auto &testCase) {
        return std::string(testCase.param.name);
    });
