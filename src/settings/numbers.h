#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace currantpitch::settings {

using real_milliseconds = std::chrono::duration<double, std::milli>;

/// Parses a number that is not negative, in decimal or scientific notation, whole or a fraction.
/// Returns nullopt if the text is anything else.
std::optional<double> parse_real(const std::string& text);

/// Parses a duration, a number that is not negative with the unit "ms", "s" or "m". Returns nullopt
/// if the text is anything else.
std::optional<real_milliseconds> parse_real_duration(const std::string& text);

/// Rounds down to whole milliseconds: most settings are times within which something must be done.
std::chrono::milliseconds whole_milliseconds(real_milliseconds d);

/// Parses a duration such as "500ms", "8.5s" or "2m" and rounds it down to whole milliseconds.
/// Returns nullopt if the text is not a duration or longer than can be represented.
std::optional<std::chrono::milliseconds> parse_duration(const std::string& text);

} // namespace currantpitch::settings
