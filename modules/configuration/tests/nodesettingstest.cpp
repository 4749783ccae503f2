#include "configuration/configuration.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Pimentohollow;
using namespace std::chrono_literals;

namespace
{

const std::string GoodSettings = R"(node: catalogue-1
data_centre: vienna-1
listeners:
  callers: 127.0.0.1:8080
  admin: 127.0.0.1:8081
  peers: 127.0.0.1:8082
  gossip: 127.0.0.1:8082
  chain: 127.0.0.1:8083
  announce: 127.0.0.1:8084
secrets:
  fleet_secret: {environment: FLEET}
  key_pepper: {file: /run/pepper}
  operator_token: {environment: FLEET}
seeds:
  own: ["127.0.0.2:8082"]
  remote:
    graz-1: ["127.0.1.1:8082", "[::1]:8082"]
platform:
  table_endpoint: http://127.0.0.1:8000
  table_name: pimentohollow
  object_endpoint: https://127.0.0.1:8001
  bucket: pimentohollow
  access_key_id: {environment: ID}
  secret_access_key: {environment: ID}
upstream:
  address: 127.0.0.1:9000
times:
  header: 1500ms
log_level: debug
)";

SecretSource testSource()
{
    SecretSource source;
    source.environment = [](const std::string &name) -> std::optional<std::string> {
        if (name == "FLEET") {
            return "fleet-secret-0123456789";
        }
        return name == "ID" ? std::optional<std::string>("id") : std::nullopt;
    };
    source.file = [](const std::string &path) -> std::optional<std::string> {
        return path == "/run/pepper" ? std::optional<std::string>("pepper-0123456789") : std::nullopt;
    };
    return source;
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

} // namespace

// Guards against values that are read into the wrong field or lost.
TEST(NodeSettingsTest, ReadsAllSections)
{
    const auto settings = parseNodeSettings(GoodSettings, "node.yaml", testSource());
    ASSERT_TRUE(settings) << describe(settings.error());
    EXPECT_EQ(settings->node.text(), "catalogue-1");
    EXPECT_EQ(settings->listeners.gossip, (IpEndpoint{ "127.0.0.1", 8082 }));
    EXPECT_EQ(settings->secrets.keyPepper.reveal(), "pepper-0123456789");
    EXPECT_EQ(settings->seeds.remote.at(DataCentreName("graz-1")).at(1).text(), "[::1]:8082");
    EXPECT_EQ(settings->times.header, 1500ms);
    EXPECT_EQ(settings->logLevel, LogLevel::Debug);
    EXPECT_EQ(testing::PrintToString(settings->secrets.fleetSecret), "(hidden)");
}

struct SettingsFault {
    std::string from;
    std::string to;
    int line;
    std::string field;
    std::string message;
};

void PrintTo(const SettingsFault &fault, std::ostream *stream) // NOLINT(readability-identifier-naming)
{
    *stream << fault.to;
}

class NodeSettingsFaultTest : public testing::TestWithParam<SettingsFault>
{
};

// Guards against a fault that is accepted, or reported without the place where the operator can mend it.
TEST_P(NodeSettingsFaultTest, NamesFileLineAndField)
{
    const auto &fault = GetParam();
    const auto settings = parseNodeSettings(replaced(GoodSettings, fault.from, fault.to), "node.yaml", testSource());
    ASSERT_FALSE(settings);
    const Finding &finding = settings.error().front();
    EXPECT_EQ(finding.file, "node.yaml");
    EXPECT_EQ(finding.line, fault.line);
    EXPECT_EQ(finding.field, fault.field);
    EXPECT_THAT(finding.message, testing::HasSubstr(fault.message));
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    NodeSettingsFaultTest,
    testing::Values(SettingsFault{ "node: catalogue-1", "node: 'a b'", 1, "node", "must be a name" },
                    SettingsFault{ "node: catalogue-1\n", "", 1, "node", "is required" },
                    SettingsFault{ "node: catalogue-1", "node: a\nnode: b", 2, "node", "given twice" },
                    SettingsFault{ "log_level: debug", "log_level: loud", 29, "log_level", "must be one of: debug" },
                    SettingsFault{ "log_level: debug", "loglevel: debug", 29, "loglevel", "unknown field" },
                    SettingsFault{ "callers: 127.0.0.1:8080", "callers: localhost:8080", 4, "listeners.callers", "numeric IP" },
                    SettingsFault{ "callers: 127.0.0.1:8080", "callers: 127.0.0.1:80800", 4, "listeners.callers", "numeric IP" },
                    SettingsFault{ "callers: 127.0.0.1:8080", "callers: [1, 2]", 4, "listeners.callers", "single value" },
                    SettingsFault{ "admin: 127.0.0.1:8081", "admin: 127.0.0.1:8080", 5, "listeners.admin", "same address as callers" },
                    SettingsFault{ "chain: 127.0.0.1:8083", "chain: 10.0.0.1:8083", 8, "listeners.chain", "loopback" },
                    SettingsFault{ "{environment: FLEET}", "{environment: NONE}", 11, "secrets.fleet_secret.environment", "not set" },
                    SettingsFault{ "{environment: FLEET}", "{environment: ID}", 11, "secrets.fleet_secret.environment", "at least 16" },
                    SettingsFault{ "{environment: FLEET}", "plain-text", 11, "secrets.fleet_secret", "must be a map" },
                    SettingsFault{ "{file: /run/pepper}", "{file: /none}", 12, "secrets.key_pepper.file", "can't be read" },
                    SettingsFault{ "graz-1", "vienna-1", 17, "seeds.remote.vienna-1", "own data centre" },
                    SettingsFault{ "http://127.0.0.1:8000", "127.0.0.1:8000", 19, "platform.table_endpoint", "URL" },
                    SettingsFault{ "1500ms", "1500", 28, "times.header", "duration" },
                    SettingsFault{ "1500ms", "2h", 28, "times.header", "between 1ms and 1h" },
                    SettingsFault{ "times:", "times: [", 29, "", "invalid YAML" },
                    SettingsFault{ "times:", "tls: {peers: true}\ntimes:", 27, "tls.certificate_file", "is required" }));

// Guards against reporting only the first fault, which costs the operator one run per fault.
TEST(NodeSettingsTest, ReportsAllFaultsAtOnce)
{
    const auto settings = parseNodeSettings("node: 'x y'\nsurplus: 1\nlisteners: {callers: nowhere}\n", "node.yaml", testSource());
    ASSERT_FALSE(settings);
    EXPECT_GE(settings.error().size(), 12U);
}

// Guards against a secret that reaches a finding when its length is wrong.
TEST(NodeSettingsTest, FindingsNeverShowSecrets)
{
    SecretSource source = testSource();
    source.environment = [](const std::string &) {
        return std::optional<std::string>("short-secret");
    };
    const auto settings = parseNodeSettings(GoodSettings, "node.yaml", source);
    ASSERT_FALSE(settings);
    EXPECT_THAT(describe(settings.error()), testing::Not(testing::HasSubstr("short-secret")));
}

// Guards against crashes on settings with changed bytes.
RC_GTEST_PROP(NodeSettingsProperty, NeverCrashes, ())
{
    std::string text = GoodSettings;
    const auto mutations = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
        rc::gen::pair(rc::gen::inRange<std::size_t>(0, text.size()), rc::gen::arbitrary<char>()));
    for (const auto &[at, byte] : mutations) {
        text[at] = byte;
    }
    const auto settings = parseNodeSettings(text, "node.yaml", testSource());
    if (!settings) {
        RC_ASSERT(!settings.error().empty());
    }
}
