#include "proxy/endtoendheaders.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace currantpitch::proxy {

namespace {

constexpr std::array<std::string_view, 10> connection_headers{
    "connection", "keep-alive",       "transfer-encoding", "content-length", "te",
    "trailer",    "proxy-connection", "upgrade",           "expect",         "content-type"};

std::string lower(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

} // namespace

std::vector<http::header> end_to_end_headers(const std::vector<http::header>& headers)
{
    // A Connection header may name further headers that concern the connection only.
    std::string named;
    for (const http::header& h : headers) {
        if (lower(h.name) == "connection") {
            named.append(",").append(lower(h.value)).append(",");
        }
    }
    std::erase(named, ' ');
    std::vector<http::header> kept;
    for (const http::header& h : headers) {
        const std::string name = lower(h.name);
        const bool of_connection =
            std::find(connection_headers.begin(), connection_headers.end(), name) !=
                connection_headers.end() ||
            named.find(std::string(",").append(name).append(",")) != std::string::npos;
        if (!of_connection) {
            kept.push_back(h);
        }
    }
    return kept;
}

} // namespace currantpitch::proxy
