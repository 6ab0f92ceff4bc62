#include "http/internal/headencoder.h"

#include <algorithm>
#include <array>
#include <ostream>

#include <boost/beast/http/status.hpp>

namespace currantpitch::http {

namespace {

/// Methods that have a length even if the body is empty.
constexpr std::array<std::string_view, 4> methods_with_body{"POST", "PUT", "PATCH", "OPTIONS"};

void append_field(std::string& text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

void append_fields(std::string& text, const std::vector<header>& headers)
{
    for (const header& h : headers) {
        if (!equal_ignoring_case(h.name, "Content-Length") &&
            !equal_ignoring_case(h.name, "Transfer-Encoding")) {
            append_field(text, h.name, h.value);
        }
    }
}

} // namespace

std::string encode_request_head(const request& message, std::size_t body_bytes)
{
    std::string text = message.method + " " + message.target + " HTTP/1.1\r\n";
    if (!message.header_value("Host")) {
        append_field(text, "Host", "currantpitch");
    }
    append_fields(text, message.headers);
    const bool has_length =
        body_bytes > 0 || std::find(methods_with_body.begin(), methods_with_body.end(),
                                    message.method) != methods_with_body.end();
    if (has_length) {
        append_field(text, "Content-Length", std::to_string(body_bytes));
    }
    return text + "\r\n";
}

std::string encode_response_head(const response& message, response_framing framing, bool keep_alive)
{
    const boost::beast::string_view reason =
        boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(message.status));
    std::string text = "HTTP/1.1 " + std::to_string(message.status) + " ";
    text.append(reason.data(), reason.size()).append("\r\n");
    if (!message.content_type.empty()) {
        append_field(text, "Content-Type", message.content_type);
    }
    append_fields(text, message.headers);
    if (!keep_alive) {
        append_field(text, "Connection", "close");
    }
    if (framing == response_framing::chunked) {
        append_field(text, "Transfer-Encoding", "chunked");
    }
    else {
        const std::size_t length = never_has_body(message.status) ? 0 : message.body.size();
        append_field(text, "Content-Length", std::to_string(length));
    }
    return text + "\r\n";
}

bool never_has_body(unsigned status)
{
    return status < 200 || status == 204 || status == 304;
}

} // namespace currantpitch::http
