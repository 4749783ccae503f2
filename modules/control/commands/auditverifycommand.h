#pragma once

#include "control/command.h"

namespace Pimentohollow
{

/** "audit verify": checks the hash chain of the audit log. */
class AuditVerifyCommand : public Command
{
public:
    std::vector<std::string> words() const override;
    std::string summary() const override;
    std::string pattern() const override;
    std::string help() const override;
    CommandResult run(const Arguments &arguments, ControlContext &context) const override;
};

} // namespace Pimentohollow
