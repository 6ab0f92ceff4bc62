#include "core/eventlog.h"

#include "core/logbuffer.h"
#include "core/runtimeclock.h"

#include <glog/logging.h>

namespace currantpitch::core {

namespace {

bool silenced = false;
log_buffer* installed_buffer = nullptr;

std::string_view to_string(log_event::level severity)
{
    switch (severity) {
    case log_event::level::info:
        return "info";
    case log_event::level::warning:
        return "warning";
    case log_event::level::error:
        break;
    }
    return "error";
}

bool needs_quotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n\r\t\\") != std::string_view::npos;
}

std::string quote(std::string_view value)
{
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        const bool is_control = static_cast<unsigned char>(c) < 0x20;
        text += is_control ? ' ' : c;
    }
    return text + "\"";
}

} // namespace

log_event::log_event(std::string_view event, level severity) : severity_(severity)
{
    field("event", event);
}

log_event::~log_event()
{
    if (silenced) {
        return;
    }
    if (installed_buffer != nullptr) {
        const std::string prefix =
            "t=" + std::to_string(runtime_clock::wall_now().time_since_epoch().count()) +
            " level=" + std::string(to_string(severity_)) + " ";
        installed_buffer->append(prefix + line_);
        return;
    }
    switch (severity_) {
    case level::info:
        LOG(INFO) << line_;
        break;
    case level::warning:
        LOG(WARNING) << line_;
        break;
    case level::error:
        LOG(ERROR) << line_;
        break;
    }
}

log_event& log_event::field(std::string_view key, std::string_view value)
{
    if (!line_.empty()) {
        line_ += ' ';
    }
    line_.append(key);
    line_ += '=';
    const std::string_view shown = value.substr(0, max_field_bytes);
    line_ += needs_quotes(shown) ? quote(shown) : std::string(shown);
    line_ += shown.size() < value.size() ? "..." : "";
    return *this;
}

void set_log_buffer(log_buffer* buffer)
{
    installed_buffer = buffer;
}

void silence_log()
{
    silenced = true;
}

} // namespace currantpitch::core
