#include "resident_memory.h"

#include <fstream>
#include <string>

#include <unistd.h>

namespace amaranthladder {

long resident_kib(pid_t process) {
    std::ifstream file("/proc/" + std::to_string(process) + "/statm");
    long total_pages = 0;
    long resident_pages = 0;
    file >> total_pages >> resident_pages;
    return resident_pages * (sysconf(_SC_PAGESIZE) / 1024);
}

} // namespace amaranthladder
