#include "core/logbuffer.h"

#include "core/timer.h"

#include <poll.h>
#include <unistd.h>

namespace currantpitch::core {

void log_buffer::append(std::string_view line)
{
    if (buffer_.size() + line.size() > max_buffered_log_bytes) {
        ++dropped_;
        ++dropped_total_;
        return;
    }
    if (dropped_ > 0) {
        buffer_ += "level=warning event=log_lines_dropped count=" + std::to_string(dropped_) + '\n';
        dropped_ = 0;
    }
    buffer_.append(line);
    buffer_ += '\n';
}

void log_buffer::flush()
{
    while (!buffer_.empty()) {
        // poll instead of O_NONBLOCK: the descriptor may be shared with other processes. A pipe
        // that is ready takes PIPE_BUF bytes without blocking.
        constexpr std::size_t most_at_once = 4096;
        pollfd ready{descriptor_, POLLOUT, 0};
        if (poll(&ready, 1, 0) <= 0) {
            return;
        }
        const ssize_t written =
            write(descriptor_, buffer_.data(), std::min(buffer_.size(), most_at_once));
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
