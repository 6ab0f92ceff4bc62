#pragma once

#include "core/task.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>

namespace currantpitch::soak {

/// One process of the system under test, with its own settings and log file. Ended, if it still
/// runs, with the object.
class node_process {
public:
    /// The log goes to FOLDER/NAME.log, the settings to FOLDER/NAME.yaml.
    node_process(std::string program, std::string folder, std::string name, std::string settings);
    node_process(const node_process&) = delete;
    node_process& operator=(const node_process&) = delete;
    ~node_process();

    void start();
    void signal(int number);
    bool running();
    /// Waits until the process has ended; its exit code, or nothing when a signal ended it or it
    /// did not end in time.
    core::task<std::optional<int>> wait_for_end(std::chrono::milliseconds timeout);
    const std::string& name() const { return name_; }
    /// How often it was started.
    std::uint64_t starts() const { return starts_; }

private:
    std::string program_;
    std::string name_;
    std::string settings_file_;
    std::string log_file_;
    std::optional<pid_t> process_;
    int status_ = 0;
    std::uint64_t starts_ = 0;
};

} // namespace currantpitch::soak
