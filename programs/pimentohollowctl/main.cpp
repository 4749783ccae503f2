#include "control/control.h"
#include "core/systemclock.h"

#include <exception>
#include <iostream>

int main(int argc, char **argv)
{
    try {
        const Pimentohollow::SystemClock clock;
        Pimentohollow::ControlProgram program(Pimentohollow::systemControlContext(clock));
        const auto code = program.run({ argv + 1, argv + argc }, std::cout, std::cerr);
        return static_cast<int>(code);
    } catch (const std::exception &exception) {
        std::cerr << "pimentohollowctl: " << exception.what() << "\n";
        return static_cast<int>(Pimentohollow::ExitCode::HasFindings);
    }
}
