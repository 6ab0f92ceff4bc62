#include "proxy/eventstream.h"

#include "proxy/proxyconstants.h"

#include <charconv>

namespace currantpitch::proxy {

using core::errc;
using core::error;

namespace {

constexpr std::string_view event_end = "\n\n";

} // namespace

std::optional<std::uint64_t> event_id(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(3);
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t id = 0;
        const std::from_chars_result parsed =
            std::from_chars(line.data(), line.data() + line.size(), id);
        if (parsed.ec != std::errc() || parsed.ptr == line.data()) {
            return std::nullopt;
        }
        return id;
    }
    return std::nullopt;
}

core::result<bool> event_sequence::is_new(std::string_view event)
{
    const std::optional<std::uint64_t> id = event_id(event);
    if (!id) {
        return error{errc::malformed, "event without an id"};
    }
    if (last_id_ && *id <= *last_id_) {
        return false;
    }
    if (last_id_ && *id != *last_id_ + 1) {
        return error{errc::malformed,
                     "event " + std::to_string(*id) + " after " + std::to_string(*last_id_)};
    }
    last_id_ = *id;
    return true;
}

core::result<void> event_sequence::append(std::string_view bytes)
{
    buffer_.append(bytes);
    std::size_t begin = 0;
    while (true) {
        const std::size_t end = buffer_.find(event_end, begin);
        if (end == std::string::npos) {
            break;
        }
        const std::size_t next = end + event_end.size();
        const std::string_view event = std::string_view(buffer_).substr(begin, next - begin);
        const core::result<bool> is_new_event = is_new(event);
        if (!is_new_event) {
            return is_new_event.error();
        }
        if (is_new_event.value()) {
            unsent_.append(event);
            ++new_event_count_;
        }
        begin = next;
    }
    buffer_.erase(0, begin);
    if (buffer_.size() > max_event_bytes) {
        return error{errc::too_large, "event exceeds the maximum size"};
    }
    return core::ok();
}

} // namespace currantpitch::proxy
