#include "control/control.h"
#include "core/manualclock.h"
#include "core/systemclock.h"
#include "keys/keys.h"
#include "standins/platform/platformstandin.h"

#include <fmt/format.h>
#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <Poco/JSON/Parser.h>
#include <Poco/TemporaryFile.h>
#include <sstream>
#include <thread>

using namespace Pimentohollow;

namespace
{

const std::string Examples = EXAMPLES_DIRECTORY;
const std::string Pepper = "pepper-0123456789";

struct RunResult {
    ExitCode code;
    std::string out;
    std::string err;
};

/** Runs pimentohollowctl against the stand-in, over HTTP. */
class ControlTest : public testing::Test
{
protected:
    RunResult run(const std::vector<std::string> &words)
    {
        ControlContext context{ m_clock,
                                [this](const std::string &) {
                                    return settings();
                                },
                                openPlatformOverHttp,
                                [this](const AdminCall &call) {
                                    return m_admin(call);
                                },
                                [](const std::string &name) {
                                    return name == "USER" ? std::optional<std::string>("maria") : std::nullopt;
                                } };
        ControlProgram program(context);
        std::ostringstream out;
        std::ostringstream err;
        const ExitCode code = program.run(words, out, err);
        return { code, out.str(), err.str() };
    }

    Parsed<OperatorSettings> settings()
    {
        OperatorSettings settings;
        settings.platform.tableEndpoint = m_standin.url();
        settings.platform.tableName = "t";
        settings.platform.objectEndpoint = m_standin.url();
        settings.platform.bucket = "b";
        settings.platform.accessKeyId = Secret(PlatformStandin::AccessKeyId);
        settings.platform.secretAccessKey = Secret(PlatformStandin::SecretAccessKey);
        settings.keyPepper = Secret(Pepper);
        settings.operatorToken = Secret("operator-token-0123");
        settings.nodes[DataCentreName("graz-1")] = { "http://graz" };
        settings.nodes[DataCentreName("vienna-1")] = { "http://vienna-a", "http://vienna-b" };
        return settings;
    }

    std::string write(const std::string &text)
    {
        m_files.push_back(std::make_unique<Poco::TemporaryFile>());
        std::ofstream(m_files.back()->path()) << text;
        return m_files.back()->path();
    }

    RunResult apply(const std::string &file, const std::vector<std::string> &options = {})
    {
        std::vector<std::string> words{ "apply", "--reason=first set-up", file };
        words.insert(words.end(), options.begin(), options.end());
        return run(words);
    }

    std::string accountFile(int rate)
    {
        return write("accounts: [{name: florist, rate: " + std::to_string(rate) + ", burst: 5}]\n");
    }

    /** The word after "key id: " or "key: ". */
    static std::string wordAfter(const std::string &text, const std::string &label)
    {
        const std::size_t first = text.find(label) + label.size();
        return text.substr(first, text.find('\n', first) - first);
    }

    SystemClock m_clock;
    PlatformStandin m_standin;
    AdminCaller m_admin = [](const AdminCall &) -> Result<AdminAnswer> {
        return failure(ErrorKind::Unavailable, "admin", "no node");
    };
    std::vector<std::unique_ptr<Poco::TemporaryFile>> m_files;
};

} // namespace

struct UsageCase {
    std::vector<std::string> words;
    ExitCode code;
    std::string text;
};

class ControlUsageTest : public ControlTest, public testing::WithParamInterface<UsageCase>
{
};

// Guards against wrong exit codes, which scripts rely on, and against errors that don't say what is wrong.
TEST_P(ControlUsageTest, ReportsCodeAndText)
{
    const RunResult result = run(GetParam().words);
    EXPECT_EQ(result.code, GetParam().code);
    EXPECT_THAT(result.out + result.err, testing::HasSubstr(GetParam().text));
}

INSTANTIATE_TEST_SUITE_P(
    Lines,
    ControlUsageTest,
    testing::Values(UsageCase{ { "validate", Examples + "/jahrestag.yaml" }, ExitCode::Ok, "valid" },
                    UsageCase{ { "validate", Examples + "/agencia.yaml" }, ExitCode::Ok, "valid" },
                    UsageCase{ { "validate", "/nowhere.yaml" }, ExitCode::HasFindings, "/nowhere.yaml: the file can't be read" },
                    UsageCase{ { "validate", "--kind=node", Examples + "/jahrestag.yaml" }, ExitCode::HasFindings, "unknown field" },
                    UsageCase{ { "validate", "--kind=none", "x" }, ExitCode::Usage, "--kind must be" },
                    UsageCase{ {}, ExitCode::Usage, "no subcommand" },
                    UsageCase{ { "aply" }, ExitCode::Usage, "unknown subcommand" },
                    UsageCase{ { "key" }, ExitCode::Usage, "unknown subcommand" },
                    UsageCase{ { "apply" }, ExitCode::Usage, "Usage:" },
                    UsageCase{ { "--help" }, ExitCode::Ok, "key withdraw" },
                    UsageCase{ { "key", "issue", "--help" }, ExitCode::Ok, "printed once" },
                    UsageCase{ { "history", "--last=x" }, ExitCode::Usage, "--last" },
                    UsageCase{ { "history", "--output=xml" }, ExitCode::Usage, "--output must be" },
                    UsageCase{ { "apply", Examples + "/agencia.yaml" }, ExitCode::Usage, "--reason must not be empty" },
                    UsageCase{ { "key", "issue", "--reason=r", "nobody" }, ExitCode::HasFindings, "no account 'nobody'" },
                    UsageCase{ { "key", "withdraw", "--reason=r", "k1" }, ExitCode::HasFindings, "no key 'k1'" },
                    UsageCase{ { "node", "drain", "--undo", "--reason=r", "n" }, ExitCode::HasFindings, "is not drained" },
                    UsageCase{ { "node", "remove", "--reason=r", "a b" }, ExitCode::Usage, "NODE must be a name" }));

// Guards against sample settings that the programs refuse.
TEST_F(ControlTest, SampleSettingsAreValid)
{
    SecretSource source;
    source.environment = [](const std::string &) {
        return std::optional<std::string>("secret-0123456789");
    };
    std::ifstream node(Examples + "/node.yaml");
    std::ifstream control(Examples + "/pimentohollowctl.yaml");
    const std::string nodeText((std::istreambuf_iterator<char>(node)), {});
    const std::string controlText((std::istreambuf_iterator<char>(control)), {});
    const auto settings = parseNodeSettings(nodeText, "node.yaml", source);
    EXPECT_TRUE(settings) << describe(settings.error());
    const auto operatorSettings = parseOperatorSettings(controlText, "ctl.yaml", source);
    EXPECT_TRUE(operatorSettings) << describe(operatorSettings.error());
}

// Guards against a change that isn't recorded, or an audit log that doesn't show it.
TEST_F(ControlTest, AppliesAndAccountsForChanges)
{
    const std::string file = Examples + "/jahrestag.yaml";
    EXPECT_EQ(run({ "diff", file }).code, ExitCode::HasFindings);
    EXPECT_EQ(apply(file).code, ExitCode::Ok);
    EXPECT_EQ(run({ "diff", file }).code, ExitCode::Ok);
    EXPECT_THAT(apply(file).out, testing::HasSubstr("already is as the document says"));
    EXPECT_EQ(run({ "node", "drain", "--reason=disk", "vienna-1-catalogue" }).code, ExitCode::Ok);
    EXPECT_EQ(run({ "diff", file }).code, ExitCode::Ok);
    EXPECT_THAT(run({ "history" }).out, testing::HasSubstr("maria  disk\n  set drain/vienna-1-catalogue"));
    EXPECT_THAT(run({ "audit", "verify" }).out, testing::HasSubstr("2 entries up to version 2: 0 findings"));
    const std::string exported = write(run({ "audit", "export" }).out);
    EXPECT_EQ(run({ "audit", "verify", "--against=" + exported }).code, ExitCode::Ok);
    const std::string forged = write(std::string(run({ "audit", "export" }).out).replace(30, 1, "9"));
    EXPECT_EQ(run({ "audit", "verify", "--against=" + forged }).code, ExitCode::HasFindings);
}

// Guards against two operators who both believe that they won.
TEST_F(ControlTest, LaterOperatorGetsAConflictAndWritesNothing)
{
    apply(accountFile(1));
    constexpr int Operators = 6;
    std::vector<RunResult> runs(Operators);
    std::vector<std::string> files;
    files.reserve(Operators);
    for (int n = 0; n < Operators; ++n) {
        files.push_back(accountFile(n + 2));
    }
    std::vector<std::thread> threads;
    threads.reserve(Operators);
    for (int n = 0; n < Operators; ++n) {
        threads.emplace_back([this, n, &runs, &files] {
            runs[static_cast<std::size_t>(n)] = apply(files[static_cast<std::size_t>(n)], { "--base=1" });
        });
    }
    for (auto &it : threads) {
        it.join();
    }
    int winners = 0;
    for (const auto &it : runs) {
        winners += it.code == ExitCode::Ok ? 1 : 0;
        if (it.code != ExitCode::Ok) {
            EXPECT_EQ(it.code, ExitCode::Conflict);
            EXPECT_THAT(it.err, testing::HasSubstr("version 2 was made by another change; nothing of this one was written\n  by maria"));
        }
    }
    EXPECT_EQ(winners, 1);
    EXPECT_THAT(run({ "audit", "verify" }).out, testing::HasSubstr("2 entries up to version 2: 0 findings"));
}

// Guards against edits of single entities that fail because an unrelated change was faster.
TEST_F(ControlTest, RacingEditsOfDifferentNodesAllTakeEffect)
{
    constexpr int Operators = 4;
    std::vector<std::thread> threads;
    threads.reserve(Operators);
    for (int n = 0; n < Operators; ++n) {
        threads.emplace_back([this, n] {
            EXPECT_EQ(run({ "node", "drain", "--reason=rack", "n" + std::to_string(n) }).code, ExitCode::Ok);
        });
    }
    for (auto &it : threads) {
        it.join();
    }
    EXPECT_THAT(run({ "audit", "verify" }).out, testing::HasSubstr("4 entries up to version 4: 0 findings"));
}

// Guards against a wrong exit code while the platform is away, and against half a change after it.
TEST_F(ControlTest, OutageIsReportedAndWritesNothing)
{
    apply(accountFile(1));
    StandinBehaviour behaviour;
    behaviour.outage = StandinOutage::Down;
    m_standin.setBehaviour(behaviour);
    const std::string file = accountFile(2);
    const std::vector<std::vector<std::string>> lines{ { "diff", file },
                                                       { "apply", "--reason=r", file },
                                                       { "history" },
                                                       { "status" },
                                                       { "audit", "verify" },
                                                       { "audit", "export" },
                                                       { "key", "list" },
                                                       { "key", "issue", "--reason=r", "florist" },
                                                       { "key", "withdraw", "--reason=r", "k1" },
                                                       { "node", "drain", "--reason=r", "n" } };
    for (const auto &it : lines) {
        EXPECT_EQ(run(it).code, ExitCode::PlatformUnavailable) << it.front();
    }
    m_standin.setBehaviour({});
    EXPECT_THAT(run({ "audit", "verify" }).out, testing::HasSubstr("1 entries up to version 1: 0 findings"));
}

// Guards against a change applied twice, or reported as failed, when the answer to its write is lost.
TEST_F(ControlTest, LostAnswerIsResolved)
{
    StandinBehaviour behaviour;
    behaviour.loseAnswers = 1;
    m_standin.setBehaviour(behaviour);
    EXPECT_EQ(apply(accountFile(1)).code, ExitCode::Ok);
    EXPECT_EQ(m_standin.counters().lostAnswers, 1U);
    EXPECT_THAT(run({ "audit", "verify" }).out, testing::HasSubstr("1 entries up to version 1: 0 findings"));
}

// Guards against a key that is stored or shown again, or that the table of the nodes doesn't accept.
TEST_F(ControlTest, KeyIsShownOnceAndWithdrawnForGood)
{
    apply(accountFile(1));
    const RunResult issued = run({ "key", "issue", "--reason=new shop", "florist" });
    ASSERT_EQ(issued.code, ExitCode::Ok) << issued.err;
    const std::string key = wordAfter(issued.out, "\nkey: ");
    const std::string id = wordAfter(issued.out, "key id: ");
    ASSERT_TRUE(ClientKey::wellFormed(key));
    const std::string shown = run({ "history" }).out + run({ "audit", "export" }).out + run({ "key", "list", "--output=json" }).out;
    EXPECT_THAT(shown, testing::Not(testing::HasSubstr(key)));
    EXPECT_THAT(shown, testing::HasSubstr(digestText(keyDigest(Pepper, key))));
    EXPECT_EQ(run({ "key", "withdraw", "--reason=lost", id }).code, ExitCode::Ok);
    EXPECT_THAT(run({ "key", "withdraw", "--reason=lost", id }).out, testing::HasSubstr("has been withdrawn since"));
    EXPECT_THAT(run({ "key", "list", "--account=florist" }).out, testing::HasSubstr(id + "  florist  withdrawn"));
}

// Guards against a withdrawal that a node can't verify, and against reporting it as recorded too early.
TEST_F(ControlTest, WithdrawsThroughANodeWithoutThePlatform)
{
    AdminCall seen;
    m_admin = [&seen](const AdminCall &call) -> Result<AdminAnswer> {
        seen = call;
        return AdminAnswer{ 202, "" };
    };
    const RunResult accepted = run({ "key", "withdraw", "--via=http://127.0.0.1:1", "--reason=lost", "k1" });
    EXPECT_EQ(accepted.code, ExitCode::Ok);
    EXPECT_EQ(accepted.out, "accepted, not yet recorded\n");
    EXPECT_EQ(seen.method + " " + seen.url + seen.path, "POST http://127.0.0.1:1/v1/withdrawals");
    const auto withdrawal = parseWithdrawal(seen.body);
    ASSERT_TRUE(withdrawal);
    EXPECT_TRUE(verifyWithdrawal(Pepper, *withdrawal));
    m_admin = [](const AdminCall &) -> Result<AdminAnswer> {
        return AdminAnswer{ 403, "" };
    };
    EXPECT_EQ(run({ "key", "withdraw", "--via=http://n", "--reason=lost", "k1" }).code, ExitCode::HasFindings);
}

// Guards against a node that is behind or silent and isn't shown.
TEST_F(ControlTest, StatusShowsWhoIsBehind)
{
    apply(accountFile(1));
    apply(accountFile(2));
    m_admin = [](const AdminCall &call) -> Result<AdminAnswer> {
        if (call.url == "http://vienna-b") {
            return failure(ErrorKind::Unavailable, "admin", "connection refused");
        }
        const bool late = call.url == "http://graz";
        return AdminAnswer{ 200,
                            fmt::format(R"({{"node":"{}","data_centre":"{}","version":{},"members":3,"draining":false}})",
                                        late ? "g1" : "v1",
                                        late ? "graz-1" : "vienna-1",
                                        late ? 1 : 2) };
    };
    const RunResult status = run({ "status" });
    EXPECT_EQ(status.code, ExitCode::HasFindings);
    EXPECT_EQ(status.out,
              "platform: version 2\ngraz-1\n  g1 (http://graz): version 1, 1 behind, sees 3 members\nvienna-1\n"
              "  v1 (http://vienna-a): version 2, sees 3 members\n  ? (http://vienna-b): no answer: connection refused\n");
    Poco::JSON::Parser parser;
    const auto json = parser.parse(run({ "status", "--output=json" }).out).extract<Poco::JSON::Object::Ptr>();
    EXPECT_EQ(json->getValue<int>("exit_code"), 1);
    EXPECT_EQ(json->getArray("nodes")->getObject(0)->getValue<int>("behind"), 1);
}
