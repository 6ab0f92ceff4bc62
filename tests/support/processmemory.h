#pragma once

#include <cstddef>
#include <fstream>
#include <string>

namespace currantpitch::testing {

/// Highest amount of memory that a process has had in use, in bytes; 0 if it does not exist. The
/// process is "self" or a process id, from the system's process files.
inline std::size_t peak_memory_bytes(const std::string& process)
{
    std::ifstream status("/proc/" + process + "/status");
    std::string word;
    std::size_t kilobytes = 0;
    while (status >> word) {
        if (word == "VmHWM:") {
            status >> kilobytes;
        }
    }
    return kilobytes * 1024;
}

} // namespace currantpitch::testing
