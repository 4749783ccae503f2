#include "async/async.h"
#include "core/manualclock.h"

#include <array>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Pimentohollow
{

namespace
{

using namespace std::chrono_literals;

/** What holds the last reference to a socket when its loop ends. */
enum class Holder {
    PostedCallback,
    Timer,
    CallbackOfACallback,
};

struct HolderCase {
    const char *name;
    Holder holder;
};

/** A socket that leaves a callback behind when it is closed. */
struct HeldSocket {
    HeldSocket(EventLoop &ownLoop, std::unique_ptr<AsyncSocket> ownSocket)
        : loop(ownLoop)
        , socket(std::move(ownSocket))
    {
    }
    HeldSocket(const HeldSocket &) = delete;
    HeldSocket &operator=(const HeldSocket &) = delete;
    ~HeldSocket()
    {
        if (next) {
            loop.post([held = std::move(next)] {});
        }
    }

    EventLoop &loop;
    std::unique_ptr<AsyncSocket> socket;
    std::shared_ptr<HeldSocket> next = nullptr;
};

class EventLoopEndTest : public ::testing::TestWithParam<HolderCase>
{
};

} // namespace

/** Guards against sockets that take themselves out of a loop whose registrations are already destroyed; needs ASan to be sure. */
TEST_P(EventLoopEndTest, PendingCallbacksMayHoldSockets)
{
    const ManualClock clock;
    std::vector<int> others;
    {
        EventLoop loop(clock);
        const auto open = [&loop, &others] {
            std::array<int, 2> ends{};
            EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()), 0);
            others.push_back(ends[1]);
            return std::make_unique<AsyncSocket>(loop, ends[0]);
        };
        auto held = std::make_shared<HeldSocket>(loop, open());
        if (GetParam().holder == Holder::CallbackOfACallback) {
            held->next = std::make_shared<HeldSocket>(loop, open());
        }
        if (GetParam().holder == Holder::Timer) {
            loop.schedule(clock.now() + 1s, [held] {});
        } else {
            loop.post([held] {});
        }
        held.reset();
        for (const int it : others) {
            char byte = 0;
            EXPECT_EQ(::recv(it, &byte, 1, 0), -1) << "still open";
        }
    }
    for (const int it : others) {
        char byte = 0;
        EXPECT_EQ(::recv(it, &byte, 1, 0), 0) << "closed with the loop";
        ::close(it);
    }
}

INSTANTIATE_TEST_SUITE_P(Holders,
                         EventLoopEndTest,
                         ::testing::Values(HolderCase{ "PostedCallback", Holder::PostedCallback },
                                           HolderCase{ "Timer", Holder::Timer },
                                           HolderCase{ "CallbackOfACallback", Holder::CallbackOfACallback }),
                         [](const auto &it) {
                             return std::string(it.param.name);
                         });

} // namespace Pimentohollow
