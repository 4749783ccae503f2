#include "async/async.h"
#include "core/systemclock.h"

#include <array>
#include <gtest/gtest.h>
#include <memory>
#include <string>

namespace Pimentohollow
{

namespace
{

using namespace std::chrono_literals;

struct FramedAnswerCase {
    const char *name;
    const char *bytes;
};

class HttpClientCutAnswerTest : public ::testing::TestWithParam<FramedAnswerCase>
{
};

/** How a server ends the connection after its bytes. */
enum class Ending {
    Close,
    Reset,
};

/** A fiber that is suspended when its loop ends is never unwound, which the leak check of ASan reports. */
void waitForOtherFibers(EventLoop &loop)
{
    while (loop.fibers() > 1) {
        loop.sleepFor(1ms);
    }
}

} // namespace

/** Guards against a part of a list that is read as a short list, and against a reset that reads like the end of an answer. */
TEST_P(HttpClientCutAnswerTest, EachPartOfAnAnswerIsAnError)
{
    const std::string bytes = GetParam().bytes;
    SystemClock clock;
    EventLoop loop(clock);
    std::size_t sentBytes = 0;
    Ending ending = Ending::Close;
    AsyncListener server(loop, [&](std::unique_ptr<AsyncSocket> accepted) {
        loop.spawn([&, socket = std::shared_ptr<AsyncSocket>(std::move(accepted))] {
            std::array<char, 4096> request{};
            if (!socket->read(request, clock.now() + 5s)) {
                return;
            }
            (void)socket->writeAll(std::string_view(bytes).substr(0, sentBytes), clock.now() + 5s);
            if (ending == Ending::Reset) {
                loop.sleepFor(1ms);
                socket->reset();
            } else {
                socket->close();
            }
        });
    });
    ASSERT_TRUE(server.listen({ "127.0.0.1", 0 }));
    loop.spawn([&] {
        for (const auto it : { Ending::Close, Ending::Reset }) {
            ending = it;
            for (sentBytes = 0; sentBytes <= bytes.size(); ++sentBytes) {
                HttpClient client(loop, { "127.0.0.1", server.port() });
                const auto answer = client.exchange({ "GET", "/rows", {}, "" }, clock.now() + 5s);
                if (sentBytes == bytes.size()) {
                    EXPECT_TRUE(answer);
                    EXPECT_EQ(answer->body, "[1,2]");
                } else {
                    ASSERT_FALSE(answer) << sentBytes << " of " << bytes.size() << " bytes";
                    EXPECT_EQ(answer.error().kind, ErrorKind::OutcomeUnknown) << answer.error().describe();
                }
            }
        }
        waitForOtherFibers(loop);
        loop.stop();
    });
    loop.run();
}

INSTANTIATE_TEST_SUITE_P(
    Framings,
    HttpClientCutAnswerTest,
    ::testing::Values(
        FramedAnswerCase{ "Length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n[1,2]" },
        FramedAnswerCase{ "Chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n[1\r\n3\r\n,2]\r\n0\r\n\r\n" },
        FramedAnswerCase{ "Trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n[1,2]\r\n0\r\nX-Sum: 3\r\n\r\n" },
        FramedAnswerCase{ "AfterInterimHead", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n[1,2]" }),
    [](const auto &it) {
        return std::string(it.param.name);
    });

} // namespace Pimentohollow
