#include "http/httpmessage.h"

#include <algorithm>
#include <cctype>

namespace currantpitch::http {

bool equal_ignoring_case(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

namespace {

std::optional<std::string> find_header(const std::vector<header>& headers, std::string_view name)
{
    for (const header& h : headers) {
        if (equal_ignoring_case(h.name, name)) {
            return h.value;
        }
    }
    return std::nullopt;
}

std::string percent_decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool escaped = text[i] == '%' && i + 2 < text.size() &&
                             std::isxdigit(static_cast<unsigned char>(text[i + 1])) != 0 &&
                             std::isxdigit(static_cast<unsigned char>(text[i + 2])) != 0;
        if (!escaped) {
            decoded += text[i] == '+' ? ' ' : text[i];
            continue;
        }
        decoded += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
        i += 2;
    }
    return decoded;
}

} // namespace

std::optional<std::string> request::header_value(std::string_view name) const
{
    return find_header(headers, name);
}

std::string_view request::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::optional<std::string> request::query(std::string_view name) const
{
    const std::size_t mark = target.find('?');
    std::string_view rest =
        mark == std::string::npos ? std::string_view() : std::string_view(target).substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (percent_decode(pair.substr(0, equals)) == name) {
            return percent_decode(pair.substr(std::min(equals + 1, pair.size())));
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return std::nullopt;
}

std::optional<std::string> response::header_value(std::string_view name) const
{
    return find_header(headers, name);
}

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        const unsigned char byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || std::string_view("-._~").find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4];
        encoded += digits[byte & 15];
    }
    return encoded;
}

} // namespace currantpitch::http
