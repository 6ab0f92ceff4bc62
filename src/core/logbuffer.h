#pragma once

#include "core/task.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace currantpitch::core {

/// Maximum size of the buffered log lines; further lines are dropped and counted.
inline constexpr std::size_t max_buffered_log_bytes = std::size_t{512} * 1024;
/// Interval at which buffered lines are written. Limits the number of writes of a busy process.
inline constexpr std::chrono::milliseconds log_flush_interval{100};

/// Buffers log lines and writes them to a descriptor without blocking on its reader. Lines that do
/// not fit are dropped; their number is logged before the next line that fits.
class log_buffer {
public:
    explicit log_buffer(int descriptor) : descriptor_(descriptor) {}

    void append(std::string_view line);
    /// Writes as much as the descriptor accepts without blocking.
    void flush();
    std::uint64_t dropped() const { return dropped_total_; }
    std::size_t buffered_bytes() const { return buffer_.size(); }

    /// Flushes every log_flush_interval until the process exits.
    task<void> flush_loop();

private:
    int descriptor_;
    std::string buffer_;
    std::uint64_t unreported_drops_ = 0;
    std::uint64_t dropped_total_ = 0;
};

/// Redirects subsequent log_event output from glog to the buffer, which must outlive the last
/// event. nullptr restores the output to glog.
void set_log_buffer(log_buffer* buffer);

} // namespace currantpitch::core
