#include "core/logbuffer.h"

#include "core/timer.h"

#include <poll.h>
#include <unistd.h>

namespace currantpitch::core {

void log_buffer::append(std::string_view line)
{
    if (buffer_.size() + line.size() > max_buffered_log_bytes) {
        ++unreported_drops_;
        ++dropped_total_;
        return;
    }
    if (unreported_drops_ > 0) {
        buffer_ +=
            "level=warning event=log_lines_dropped count=" + std::to_string(unreported_drops_) +
            '\n';
        unreported_drops_ = 0;
    }
    buffer_.append(line);
    buffer_ += '\n';
}

void log_buffer::flush()
{
    while (!buffer_.empty()) {
        // O_NONBLOCK would also affect other processes that share the descriptor, so poll is used
        // instead. A pipe that is ready accepts PIPE_BUF bytes without blocking.
        constexpr std::size_t max_write_bytes = 4096;
        pollfd ready{descriptor_, POLLOUT, 0};
        if (poll(&ready, 1, 0) <= 0) {
            return;
        }
        const ssize_t written =
            write(descriptor_, buffer_.data(), std::min(buffer_.size(), max_write_bytes));
        if (written <= 0) {
            return;
        }
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
}

task<void> log_buffer::flush_loop()
{
    while (true) {
        co_await sleep_for(log_flush_interval);
        flush();
    }
}

} // namespace currantpitch::core
