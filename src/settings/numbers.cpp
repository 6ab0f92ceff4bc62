#include "settings/numbers.h"

#include <charconv>
#include <cmath>

namespace currantpitch::settings {

namespace {

/// Longest duration that parse_duration returns.
constexpr real_milliseconds max_duration{1e15};
/// A decimal fraction of a second can lie this far below the whole milliseconds that it stands for.
constexpr double rounding_error_ms = 1e-6;

struct leading_number {
    double value = 0;
    std::string_view rest;
};

/// Reads the number at the beginning of the text.
std::optional<leading_number> read_number(std::string_view text)
{
    if (text.starts_with('+')) {
        text.remove_prefix(1);
    }
    // from_chars would accept "inf" and "nan", and a minus after the plus.
    const bool begins_with_digit =
        !text.empty() && ((text.front() >= '0' && text.front() <= '9') || text.front() == '.');
    leading_number number;
    const char* const end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data(), end, number.value);
    if (!begins_with_digit || parsed.ec != std::errc()) {
        return std::nullopt;
    }
    number.rest = std::string_view(parsed.ptr, static_cast<std::size_t>(end - parsed.ptr));
    return number;
}

} // namespace

std::optional<double> parse_real(const std::string& text)
{
    const std::optional<leading_number> number = read_number(text);
    return number && number->rest.empty() ? std::optional(number->value) : std::nullopt;
}

std::optional<real_milliseconds> parse_real_duration(const std::string& text)
{
    const std::optional<leading_number> number = read_number(text);
    if (!number) {
        return std::nullopt;
    }
    if (number->rest == "ms") {
        return real_milliseconds(number->value);
    }
    if (number->rest == "s") {
        return std::chrono::duration<double>(number->value);
    }
    if (number->rest == "m") {
        return std::chrono::duration<double, std::ratio<60>>(number->value);
    }
    return std::nullopt;
}

std::chrono::milliseconds whole_milliseconds(real_milliseconds d)
{
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(std::floor(d.count() + rounding_error_ms)));
}

std::optional<std::chrono::milliseconds> parse_duration(const std::string& text)
{
    const std::optional<real_milliseconds> parsed = parse_real_duration(text);
    return parsed && *parsed <= max_duration ? std::optional(whole_milliseconds(*parsed))
                                             : std::nullopt;
}

} // namespace currantpitch::settings
