#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantpitch::http {

/// One header field of a message.
struct header {
    std::string name;
    std::string value;
};

/// A request with its complete body. The target is the path with its query.
struct request {
    std::string method = "GET";
    std::string target = "/";
    std::vector<header> headers;
    std::string body;

    /// Value of the first header field with this name, ignoring case; nothing when absent.
    std::optional<std::string> header_value(std::string_view name) const;
    /// The target without its query.
    std::string_view path() const;
    /// Decoded value of a query parameter; nothing when absent.
    std::optional<std::string> query(std::string_view name) const;
};

/// A response with its complete body, or only the head of a response that is streamed.
struct response {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::vector<header> headers;
    std::string body;

    std::optional<std::string> header_value(std::string_view name) const;
};

/// Compares names of header fields.
bool equal_ignoring_case(std::string_view a, std::string_view b);

/// Encodes all bytes other than letters, digits and "-._~" as %XX.
std::string percent_encode(std::string_view text);

} // namespace currantpitch::http
