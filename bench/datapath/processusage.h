#pragma once

#include <sys/types.h>

namespace Pimentohollow::Bench
{

/** CPU time used so far by a child process, in seconds. */
double cpuSeconds(pid_t pid);

/** Resident memory of a child process, in MiB. */
double residentMebibytes(pid_t pid);

} // namespace Pimentohollow::Bench
