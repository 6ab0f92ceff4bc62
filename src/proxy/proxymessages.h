#pragma once

#include "core/error.h"
#include "core/identifiers.h"
#include "http/httpmessage.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantpitch::proxy {

/// A caller's request with the values of its headers.
struct caller_request {
    /// Id that the caller has assigned to this attempt.
    std::string id;
    std::string host;
    std::optional<std::string> key;
    /// Time for which the caller waits for the answer.
    std::chrono::milliseconds timeout{};
    /// Id of the last event of the stream that the caller has received.
    std::optional<std::uint64_t> last_event_id;
    /// Parts of the prompt that other requests may share, in their order. At most
    /// max_shared_parts.
    std::vector<core::prompt_part_id> shared_parts;
    http::request message;
};

/// Target of an attempt and the metadata that is sent to the endpoint.
struct endpoint_call {
    core::endpoint_id endpoint;
    std::optional<core::workspace_id> workspace;
    std::chrono::milliseconds time_left{};
    std::optional<std::uint64_t> last_event_id;
    /// Priority of the request, 0 is the most urgent. Only for engines of a service whose
    /// routes differ in it.
    std::optional<int> priority;
};

/// Metadata from the head of an endpoint's answer.
struct answer_metadata {
    /// Id of the request that it answers. Empty if the answer has none.
    std::string id;
    /// The endpoint confirms that the answer is its own.
    bool genuine = false;
    /// The endpoint did not run the request and will not run it later.
    bool not_run = false;
    /// Time for which the endpoint keeps an idle connection open.
    std::optional<std::chrono::milliseconds> keep_alive_timeout;
    /// Requests per second that the endpoint accepts from all entries together.
    std::optional<double> request_limit;
    /// The answer names a limit that is no number, so that nothing is known of it.
    bool request_limit_unreadable = false;
    /// The endpoint leaves and wants no further requests.
    bool leaving = false;
    /// Time for which the endpoint wants no requests from this entry.
    std::optional<std::chrono::milliseconds> quiet_time;
};

/// A refusal that the proxy itself generates.
struct refusal {
    unsigned status = 503;
    std::string_view reason;
    std::optional<std::chrono::milliseconds> retry_after;
};

/// Encoding of requests and answers for callers and endpoints. read_request fails if a required
/// header is missing. make_endpoint_request returns a head: the body is sent from the caller's
/// request.
template <class D>
concept proxy_dialect = requires(http::request received, const caller_request& request,
                                 const endpoint_call& call, const http::response& head,
                                 const refusal& refused)
{
    {
        D::read_request(std::move(received))
        } -> std::same_as<core::result<caller_request>>;
    {
        D::make_endpoint_request(request, call)
        } -> std::same_as<http::request>;
    {
        D::read_answer(head)
        } -> std::same_as<answer_metadata>;
    {
        D::write_refusal(request, refused)
        } -> std::same_as<http::response>;
};

} // namespace currantpitch::proxy
