#include "control/commands/statuscommand.h"

#include "control/controlsession.h"

#include <algorithm>
#include <fmt/format.h>
#include <future>
#include <Poco/JSON/Parser.h>

namespace Pimentohollow
{

namespace
{

/** Nodes asked at a time; at the large size the settings list some nodes per data centre, not all 2,300. */
constexpr std::size_t ParallelCalls = 16;

struct NodeState {
    std::string url;
    std::string dataCentre;
    std::string node;
    std::uint64_t version = 0;
    std::uint64_t members = 0;
    bool draining = false;
    /** Empty if the node answered. */
    std::string problem;
};

void readStatus(const std::string &body, NodeState &state)
{
    try {
        Poco::JSON::Parser parser;
        const auto object = parser.parse(body).extract<Poco::JSON::Object::Ptr>();
        state.node = object->getValue<std::string>("node");
        state.dataCentre = object->getValue<std::string>("data_centre");
        state.version = object->getValue<std::uint64_t>("version");
        state.members = object->getValue<std::uint64_t>("members");
        state.draining = object->getValue<bool>("draining");
    } catch (const Poco::Exception &) {
        state.problem = "the answer is no status";
    }
}

NodeState askNode(const OperatorSettings &settings, const std::string &dataCentre, const std::string &url, const AdminCaller &callAdmin)
{
    NodeState state;
    state.url = url;
    state.dataCentre = dataCentre;
    AdminCall call;
    call.url = url;
    call.path = "/v1/status";
    call.operatorToken = settings.operatorToken;
    call.authoritiesFile = settings.authoritiesFile;
    const auto answer = callAdmin(call);
    if (!answer) {
        state.problem = answer.error().message;
    } else if (answer->status != 200) {
        state.problem = fmt::format("status {}", answer->status);
    } else {
        readStatus(answer->body, state);
    }
    return state;
}

std::vector<NodeState> askNodes(const OperatorSettings &settings, const ControlContext &context)
{
    std::vector<std::pair<std::string, std::string>> targets;
    for (const auto &[dataCentre, urls] : settings.nodes) {
        for (const auto &it : urls) {
            targets.emplace_back(dataCentre.text(), it);
        }
    }
    std::vector<NodeState> states;
    for (std::size_t first = 0; first < targets.size(); first += ParallelCalls) {
        std::vector<std::future<NodeState>> calls;
        for (std::size_t n = first; n < std::min(first + ParallelCalls, targets.size()); ++n) {
            calls.push_back(std::async(std::launch::async, [&settings, &context, target = targets[n]] {
                return askNode(settings, target.first, target.second, context.callAdmin);
            }));
        }
        for (auto &it : calls) {
            states.push_back(it.get());
        }
    }
    return states;
}

std::string stateText(const NodeState &state, std::uint64_t newest)
{
    if (!state.problem.empty()) {
        return "no answer: " + state.problem;
    }
    std::string text = state.version < newest ? fmt::format("version {}, {} behind", state.version, newest - state.version)
                                              : fmt::format("version {}", state.version);
    text += fmt::format(", sees {} members", state.members);
    return state.draining ? text + ", draining" : text;
}

/** Adds the nodes to the report; false if one is behind or doesn't answer. */
bool report(const std::vector<NodeState> &nodes, std::uint64_t newest, CommandResult &result)
{
    bool allGood = true;
    std::string dataCentre;
    Poco::JSON::Array::Ptr list = Poco::makeShared<Poco::JSON::Array>();
    for (const auto &it : nodes) {
        if (it.dataCentre != dataCentre) {
            dataCentre = it.dataCentre;
            result.text += dataCentre + "\n";
        }
        result.text += fmt::format("  {} ({}): {}\n", it.node.empty() ? "?" : it.node, it.url, stateText(it, newest));
        allGood = allGood && it.problem.empty() && it.version == newest;
        Poco::JSON::Object::Ptr item = Poco::makeShared<Poco::JSON::Object>(Poco::JSON_PRESERVE_KEY_ORDER);
        item->set("url", it.url);
        item->set("node", it.node);
        item->set("data_centre", it.dataCentre);
        item->set("version", it.version);
        item->set("behind", newest - it.version);
        item->set("members", it.members);
        item->set("draining", it.draining);
        item->set("problem", it.problem);
        list->add(item);
    }
    result.json->set("nodes", list);
    return allGood;
}

} // namespace

std::vector<std::string> StatusCommand::words() const
{
    return { "status" };
}

std::string StatusCommand::summary() const
{
    return "Shows the versions and states of the nodes per data centre";
}

std::string StatusCommand::pattern() const
{
    return "[options]";
}

std::string StatusCommand::help() const
{
    return R"(
Asks the admin listeners that the operator settings list. Exits with 1 if a node is behind or doesn't answer.
)";
}

CommandResult StatusCommand::run(const Arguments &arguments, ControlContext &context) const
{
    const auto session = ControlSession::open(arguments, context);
    if (!session) {
        return session.error();
    }
    const auto head = (*session)->store().head();
    const auto nodes = askNodes((*session)->settings(), context);
    std::uint64_t newest = head ? head->version : 0;
    for (const auto &it : nodes) {
        newest = std::max(newest, it.version);
    }
    CommandResult result;
    result.text = head ? fmt::format("platform: version {}\n", newest)
                       : fmt::format("platform: {}\nnewest version at a node: {}\n", head.error().describe(), newest);
    result.json->set("platform", head.has_value());
    result.json->set("version", newest);
    const bool allGood = report(nodes, newest, result);
    if (!head) {
        result.code = errorResult(head.error()).code;
    } else {
        result.code = allGood ? ExitCode::Ok : ExitCode::HasFindings;
    }
    return result;
}

} // namespace Pimentohollow
