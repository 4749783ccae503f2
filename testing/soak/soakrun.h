#pragma once

#include "loopbackproxy.h"
#include "nodeprocess.h"
#include "soakplan.h"
#include "soakrecords.h"

#include "core/random.h"
#include "mesh/model/meshsettings.h"
#include "standins/mesh/reservedport.h"
#include "standins/mesh/rowstore.h"
#include "standins/mesh/scriptedupstream.h"

#include <deque>
#include <memory>
#include <string>

namespace Pimentohollow::Soak
{

struct SoakSettings {
    std::uint64_t seed = 1;
    /** Of the traffic with faults. */
    Duration length = std::chrono::seconds(10);
    std::size_t nodes = 5;
    /** Settings and logs of the nodes are written here. */
    std::string folder;
};

/** One seed: nodes as processes, stand-ins for their upstreams and the store behind proxies, clients, and the faults of the plan. */
class SoakRun
{
public:
    explicit SoakRun(const SoakSettings &settings);
    ~SoakRun();

    /** Plays the plan; what was seen. */
    SoakRecords play();

private:
    /** A machine: a node, the upstream beside it, and the proxy between them. */
    struct Machine {
        Testing::ReservedPort callers;
        Testing::ReservedPort peers;
        Testing::ReservedPort announcements;
        Testing::ReservedPort readiness;
        Testing::ReservedPort metrics;
        Testing::ReservedPort upstreamPort;
        Testing::ReservedPort proxyPort;
        Testing::ReservedPort peerProxyPort;
        std::unique_ptr<LoopbackProxy> proxy;
        /** Between the other nodes and this one. */
        std::unique_ptr<LoopbackProxy> peerProxy;
        std::unique_ptr<NodeProcess> node;
        std::unique_ptr<Testing::ScriptedUpstream> upstream;
        std::string upstreamId;
        unsigned generation = 0;
        std::uint64_t sequence = 0;
        /** The upstream has left, and no other has taken its place yet. */
        bool left = false;
        /** The end of the process was asked for. */
        bool stopping = false;
        /** The process has answered since its start. */
        bool answered = false;
        bool paused = false;
        Testing::UpstreamScript script;
        /** Probability that the script applies; other requests are answered. */
        double scriptShare = 0;
    };

    void writeSettings(std::size_t number, const std::string &grace) const;
    void startNode(std::size_t number);
    void startUpstream(std::size_t number);
    void announceForever(std::size_t number);
    /** Body of a status report of this machine's upstream. */
    std::string reportBody(std::size_t number, std::uint64_t sequence) const;
    void watchNode(std::size_t number);
    bool isReady(std::size_t number);
    bool waitUntilReady();
    void publishRules();
    void playFault(const PlannedFault &fault);
    void playNodeFault(const PlannedFault &fault);
    void playStoreFault(const PlannedFault &fault);
    void playPeerFault(const PlannedFault &fault);
    void playUpstreamFault(const PlannedFault &fault);
    void replaceUpstream(const PlannedFault &fault);
    void sendRequests(std::size_t client);
    void send(HttpClient &client, std::size_t node, const std::string &method, const std::string &target, const std::string &key);
    void checkRecovery();
    void collectRuns(std::size_t number);

    SoakSettings m_settings;
    BootTimeClock m_clock;
    EventLoop m_loop;
    Random m_random;
    Testing::RowStore m_store;
    Testing::ReservedPort m_storePort;
    LoopbackProxy m_storeProxy;
    std::deque<Machine> m_machines;
    SoakRecords m_records;
    std::uint64_t m_version = 0;
    unsigned m_nextRequest = 0;
    std::size_t m_activeFaults = 0;
    std::size_t m_activeClients = 0;
    bool m_sending = true;
    bool m_ending = false;
};

} // namespace Pimentohollow::Soak
