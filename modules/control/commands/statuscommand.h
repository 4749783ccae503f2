#pragma once

#include "control/command.h"

namespace Pimentohollow
{

/** "status": shows the versions and states of the nodes per data centre. */
class StatusCommand : public Command
{
public:
    std::vector<std::string> words() const override;
    std::string summary() const override;
    std::string pattern() const override;
    std::string help() const override;
    CommandResult run(const Arguments &arguments, ControlContext &context) const override;
};

} // namespace Pimentohollow
