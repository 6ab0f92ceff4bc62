#pragma once

#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

namespace currantpitch::core {

/// One log line of key=value pairs, written when the object goes out of scope. Empty values and
/// values with spaces, quotes, equals signs, backslashes, tabs or line breaks are quoted. In quoted
/// values, quotes and backslashes are escaped and control characters are replaced by spaces. Values
/// above max_field_bytes are cut: some hold what callers have sent.
class log_event {
public:
    enum class level { info, warning, error };
    static constexpr std::size_t max_field_bytes = 2048;

    explicit log_event(std::string_view event, level severity = level::info);
    log_event(const log_event&) = delete;
    log_event& operator=(const log_event&) = delete;
    ~log_event();

    log_event& field(std::string_view key, std::string_view value);

    template <class T>
    log_event& field(std::string_view key, const T& value)
    {
        std::ostringstream text;
        text << value;
        return field(key, std::string_view(text.str()));
    }

private:
    std::string line_;
    level severity_;
};

/// Disables logging, to keep log lines out of the output of tests and benchmarks.
void silence_log();

} // namespace currantpitch::core
