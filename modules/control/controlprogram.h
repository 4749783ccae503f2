#pragma once

#include "control/command.h"
#include "control/controlsession.h"

#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace Pimentohollow
{

/** Parses the command line, runs the subcommand and prints its report. */
class ControlProgram
{
public:
    explicit ControlProgram(ControlContext context);
    ~ControlProgram();

    ControlProgram(const ControlProgram &) = delete;
    ControlProgram &operator=(const ControlProgram &) = delete;

    /**
     * @param words the command line without the program
     * @param out reports; with --output=json also failures
     * @param err failures and usage errors as text
     */
    ExitCode run(const std::vector<std::string> &words, std::ostream &out, std::ostream &err);

private:
    const Command *find(const std::vector<std::string> &words) const;
    std::string overview() const;
    static std::string usage(const Command &command);
    ExitCode runCommand(const Command &command, const Arguments &arguments, std::ostream &out, std::ostream &err);

    ControlContext m_context;
    std::vector<std::unique_ptr<Command>> m_commands;
};

/** The context of a real run: settings from files, the platform and the nodes over HTTP. */
ControlContext systemControlContext(const Clock &clock);

} // namespace Pimentohollow
