#pragma once

#include "core/task.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace currantpitch::core {

/// Bytes of log lines that wait to be written; further lines are dropped and counted.
inline constexpr std::size_t max_buffered_log_bytes = std::size_t{512} * 1024;
/// Interval at which buffered lines are written, so that a busy process writes few times.
inline constexpr std::chrono::milliseconds log_flush_interval{100};

/// Collects log lines and writes them to a descriptor without ever waiting for its reader. Lines
/// that do not fit are dropped; the next line that fits says how many.
class log_buffer {
public:
    explicit log_buffer(int descriptor) : descriptor_(descriptor) {}

    void append(std::string_view line);
    /// Writes what the descriptor takes now.
    void flush();
    std::uint64_t dropped() const { return dropped_total_; }
    std::size_t waiting_bytes() const { return buffer_.size(); }

    /// Flushes at every log_flush_interval, for as long as the process runs.
    task<void> flush_loop();

private:
    int descriptor_;
    std::string buffer_;
    std::uint64_t dropped_ = 0;
    std::uint64_t dropped_total_ = 0;
};

/// Sends every log_event to the buffer from now on instead of to glog. The buffer must outlive
/// the last event; nullptr goes back to glog.
void set_log_buffer(log_buffer* buffer);

} // namespace currantpitch::core
