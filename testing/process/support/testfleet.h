#pragma once

#include "support/childprocess.h"
#include "support/testclient.h"

#include <functional>
#include <memory>
#include <string>

namespace Pimentohollow::Testing
{

inline constexpr const char *TestKey = "ph_test-key-of-the-florists";

/** A node with the stand-in upstream beside it. */
struct TestSite {
    std::unique_ptr<ChildProcess> node;
    std::unique_ptr<ChildProcess> upstream;

    TestClient caller() const;
    /** Reads or changes the stand-in through its control URL. */
    std::string control(const std::string &target) const;
    std::string metrics() const;
};

/**
 * The processes of one test: node B beside an upstream of the service "echo", and node A, which is the entry.
 * The folder with the settings files is removed at the end.
 */
class TestFleet
{
public:
    TestFleet();
    ~TestFleet();
    TestFleet(const TestFleet &) = delete;
    TestFleet &operator=(const TestFleet &) = delete;

    /** Starts a node; @p upstreams are lines "service node peer-port". */
    std::unique_ptr<ChildProcess>
    startNode(const std::string &name, const std::vector<std::string> &upstreams, const std::string &extra = "");

    /** Starts a stand-in beside @p node and waits until the node knows it. */
    static std::unique_ptr<ChildProcess>
    startUpstream(ChildProcess &node, const std::string &service, const std::vector<std::string> &settings = {});

    /** Node B with its upstream of the service "echo". */
    TestSite startServingSite(const std::string &name, const std::string &service = "echo", const std::string &extra = "");

private:
    std::string m_folder;
};

/** Repeats @p condition until it holds; false after 20 s. */
bool eventually(const std::function<bool()> &condition);

} // namespace Pimentohollow::Testing
