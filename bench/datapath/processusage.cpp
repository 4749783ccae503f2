#include "processusage.h"

#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace Pimentohollow::Bench
{

double cpuSeconds(pid_t pid)
{
    std::ifstream file(fmt::format("/proc/{}/stat", pid));
    std::string line;
    std::getline(file, line);
    // The fields after the program name, which ends with ')': user and system time are the 12th and 13th.
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    constexpr int FieldsBefore = 11;
    std::string skipped;
    for (int n = 0; n < FieldsBefore; ++n) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double residentMebibytes(pid_t pid)
{
    std::ifstream file(fmt::format("/proc/{}/statm", pid));
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
}

} // namespace Pimentohollow::Bench
