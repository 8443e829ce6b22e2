#pragma once

#include <sys/types.h>

namespace amaranthladder {

/// @return the resident memory of a process in KiB; 0 if there is no such process.
long resident_kib(pid_t process);

} // namespace amaranthladder
