#pragma once

#include "core/task.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>

namespace currantpitch::soak {

/// One process of the system under test, with its own settings and log file. The destructor kills
/// the process if it is still running.
class node_process {
public:
    /// Writes the settings to FOLDER/NAME.yaml. The process logs to FOLDER/NAME.log.
    node_process(std::string program, std::string folder, std::string name, std::string settings);
    node_process(const node_process&) = delete;
    node_process& operator=(const node_process&) = delete;
    ~node_process();

    void start();
    void signal(int number);
    bool running();
    /// Waits until the process has exited. Returns its exit code, or nullopt if a signal terminated
    /// it or the timeout expired.
    core::task<std::optional<int>> wait_for_exit(std::chrono::milliseconds timeout);
    const std::string& name() const { return name_; }
    /// Highest memory use of the running process, in bytes; 0 if it does not run.
    std::size_t peak_memory_bytes();
    /// Number of starts so far.
    std::uint64_t start_count() const { return start_count_; }

private:
    std::string program_;
    std::string name_;
    std::string settings_file_;
    std::string log_file_;
    std::optional<pid_t> pid_;
    int status_ = 0;
    std::uint64_t start_count_ = 0;
};

} // namespace currantpitch::soak
