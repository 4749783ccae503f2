#pragma once

#include "control/command.h"

namespace Pimentohollow
{

/** "node remove": states that the VM of a node is gone. */
class NodeRemoveCommand : public Command
{
public:
    std::vector<std::string> words() const override;
    std::string summary() const override;
    std::string pattern() const override;
    std::string help() const override;
    CommandResult run(const Arguments &arguments, ControlContext &context) const override;
};

} // namespace Pimentohollow
