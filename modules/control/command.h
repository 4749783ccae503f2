#pragma once

#include "control/commandresult.h"

#include <docopt/docopt.h>
#include <map>
#include <string>
#include <vector>

namespace Pimentohollow
{

struct ControlContext;

using Arguments = std::map<std::string, docopt::value>;

/** A subcommand of pimentohollowctl. */
class Command
{
public:
    virtual ~Command() = default;

    /** The words that select it, for example "key" and "issue". */
    virtual std::vector<std::string> words() const = 0;

    /** One line for the list of subcommands. */
    virtual std::string summary() const = 0;

    /** Usage line after the words, for example "[options] --reason=TEXT FILE". */
    virtual std::string pattern() const = 0;

    /** What it does and its options beyond the common ones, for --help. */
    virtual std::string help() const = 0;

    virtual CommandResult run(const Arguments &arguments, ControlContext &context) const = 0;
};

/** The text of an option or argument; empty if it isn't given. */
std::string textArgument(const Arguments &arguments, const std::string &name);

/** A whole number; @p fallback if it isn't given, nothing if it is malformed. */
std::optional<std::uint64_t> numberArgument(const Arguments &arguments, const std::string &name, std::uint64_t fallback);

} // namespace Pimentohollow
