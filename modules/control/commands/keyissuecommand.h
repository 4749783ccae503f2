#pragma once

#include "control/command.h"

namespace Pimentohollow
{

/** "key issue": issues a client key and prints it once. */
class KeyIssueCommand : public Command
{
public:
    std::vector<std::string> words() const override;
    std::string summary() const override;
    std::string pattern() const override;
    std::string help() const override;
    CommandResult run(const Arguments &arguments, ControlContext &context) const override;
};

} // namespace Pimentohollow
