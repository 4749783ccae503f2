#include "control/adminclient.h"
#include "standins/platform/rawserver.h"

#include <gtest/gtest.h>

using namespace Pimentohollow;

namespace
{

struct AdminAnswerCase {
    std::string name;
    std::string bytes;
    RawServer::Ending ending = RawServer::Ending::Orderly;
};

class BrokenAdminAnswerTest : public testing::TestWithParam<AdminAnswerCase>
{
};

void PrintTo(const AdminAnswerCase &it, std::ostream *stream) // NOLINT(readability-identifier-naming)
{
    *stream << it.name;
}

AdminCall callTo(const RawServer &server)
{
    AdminCall call;
    call.url = server.url();
    call.path = "/status";
    return call;
}

} // namespace

// Guards against showing the operator a part of a node's answer as the whole, or bytes that are no answer.
TEST_P(BrokenAdminAnswerTest, HasUnknownOutcome)
{
    const RawServer server(GetParam().bytes, GetParam().ending);
    const auto answer = callAdminOverHttp(callTo(server));
    ASSERT_FALSE(answer) << answer->status << " " << answer->body;
    EXPECT_EQ(answer.error().kind, ErrorKind::OutcomeUnknown) << answer.error().describe();
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    BrokenAdminAnswerTest,
    testing::Values(AdminAnswerCase{ "None", "" },
                    AdminAnswerCase{ "Cut", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{}" },
                    AdminAnswerCase{ "CutByReset", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{}", RawServer::Ending::Reset },
                    AdminAnswerCase{ "CutChunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n" },
                    AdminAnswerCase{ "NoLength", "HTTP/1.1 200 OK\r\n\r\n{}" },
                    AdminAnswerCase{ "Status000", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}" },
                    AdminAnswerCase{ "NameWithBlank", "HTTP/1.1 200 OK\r\nX Note: 1\r\nContent-Length: 2\r\n\r\n{}" },
                    AdminAnswerCase{ "NameWithControlByte", "HTTP/1.1 200 OK\r\nX-\x01Note: 1\r\nContent-Length: 2\r\n\r\n{}" }),
    [](const auto &it) {
        return it.param.name;
    });

// Guards against rejecting a whole answer together with the broken ones.
TEST(AdminClientTest, ReturnsWholeAnswer)
{
    const RawServer server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    const auto answer = callAdminOverHttp(callTo(server));
    ASSERT_TRUE(answer) << answer.error().describe();
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(answer->body, "{}");
}
