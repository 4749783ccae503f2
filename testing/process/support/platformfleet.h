#pragma once

#include "configuration/configuration.h"
#include "standins/mesh/reservedport.h"
#include "standins/platform/platformstandin.h"
#include "support/testfleet.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace Pimentohollow::Testing
{

/** Nodes that take everything from a stand-in of the users' platform, which runs in the test's process. */
class PlatformFleet
{
public:
    /** Seeds the platform with the service "echo", its routes, the account "florists" and its key. */
    PlatformFleet();
    ~PlatformFleet();
    PlatformFleet(const PlatformFleet &) = delete;
    PlatformFleet &operator=(const PlatformFleet &) = delete;

    /** Starts a node; the first one is the seed of the others. */
    std::unique_ptr<ChildProcess> startNode(const std::string &name);

    /** Applies a change made by @p edit to the configuration in the platform. */
    void change(const std::function<void(FleetConfiguration &)> &edit);

    PlatformStandin &platform();

    /** The key of the account "florists". */
    const std::string &key() const;

private:
    void writeFile(const std::string &name, const std::string &content) const;
    std::string settings(const std::string &name);

    std::string m_folder;
    std::string m_key;
    PlatformStandin m_platform;
    /** The settings of a node name fixed ports. */
    std::deque<ReservedPort> m_ports;
    std::optional<int> m_seedPort;
};

} // namespace Pimentohollow::Testing
