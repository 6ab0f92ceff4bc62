#include "proxy/endtoendheaders.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace currantpitch::proxy {

namespace {

constexpr std::array<std::string_view, 10> excluded_headers{
    "connection", "keep-alive",       "transfer-encoding", "content-length", "te",
    "trailer",    "proxy-connection", "upgrade",           "expect",         "content-type"};

std::string to_lower(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

} // namespace

std::vector<http::header> end_to_end_headers(const std::vector<http::header>& headers)
{
    // A Connection header may name further hop-by-hop headers.
    std::string connection_options;
    for (const http::header& h : headers) {
        if (to_lower(h.name) == "connection") {
            connection_options.append(",").append(to_lower(h.value)).append(",");
        }
    }
    std::erase(connection_options, ' ');
    std::vector<http::header> end_to_end;
    for (const http::header& h : headers) {
        const std::string name = to_lower(h.name);
        const bool is_excluded =
            std::find(excluded_headers.begin(), excluded_headers.end(), name) !=
                excluded_headers.end() ||
            connection_options.find(std::string(",").append(name).append(",")) != std::string::npos;
        if (!is_excluded) {
            end_to_end.push_back(h);
        }
    }
    return end_to_end;
}

} // namespace currantpitch::proxy
