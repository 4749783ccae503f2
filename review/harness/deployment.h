#pragma once

#include "platform.h"

/** A small deployment: the store, and machines with a target and a node each. */
namespace Review
{

struct MachinePlan {
    std::string name;
    std::string zone;
    std::string service;
    unsigned slots = 20;
    Target::Behaviour behaviour;
};

struct RoutePlan {
    std::string name;
    std::string host;
    std::string service;
    bool idempotent = true;
    std::string timeout;
    unsigned maximumAttempts = 2;
};

class Deployment
{
public:
    /** @param folder temporary folder */
    Deployment(const std::vector<MachinePlan> &machines, const std::vector<RoutePlan> &routes, const std::string &folder);

    /** Starts all nodes and targets and waits until they are ready; throws if that takes too long. */
    void start();

    Node &node(std::size_t index)
    {
        return *m_nodes[index];
    }

    Target &target(std::size_t index)
    {
        return *m_targets[index];
    }

    std::size_t size() const
    {
        return m_nodes.size();
    }

    std::vector<std::unique_ptr<Node>> &nodes()
    {
        return m_nodes;
    }

private:
    std::vector<int> m_ports;
    Store m_store;
    // Nodes end first, so that none sees its target end.
    std::vector<std::unique_ptr<Target>> m_targets;
    std::vector<std::unique_ptr<Node>> m_nodes;
};

} // namespace Review
