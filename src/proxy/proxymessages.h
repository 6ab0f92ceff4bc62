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

namespace currantpitch::proxy {

/// A caller's request with what its headers say.
struct caller_request {
    /// The caller's id of this attempt.
    std::string id;
    std::string host;
    std::optional<std::string> key;
    /// How long the caller waits for the answer.
    std::chrono::milliseconds patience{};
    /// Streams: the last event that the caller has.
    std::optional<std::uint64_t> last_event;
    http::request message;
};

/// Where an attempt goes, and what the endpoint is told.
struct endpoint_call {
    core::endpoint_id endpoint;
    std::optional<core::workspace_id> workspace;
    std::chrono::milliseconds time_left{};
    std::optional<std::uint64_t> last_event;
};

/// Metadata from the head of an endpoint's answer.
struct answer_metadata {
    /// Id of the request that it answers; empty when it names none.
    std::string id;
    /// The endpoint vouches for the answer.
    bool genuine = false;
    /// The endpoint did not run the request and never will.
    bool not_run = false;
    /// How long the endpoint keeps the connection open without a request.
    std::optional<std::chrono::milliseconds> idle_time;
};

/// An answer of the system's own.
struct refusal {
    unsigned status = 503;
    std::string_view reason;
    std::optional<std::chrono::milliseconds> retry_after;
};

/// How requests and answers are written for callers and endpoints. read_request fails for what
/// lacks a needed header.
template <class D>
concept proxy_dialect = requires(http::request received, const caller_request& request,
                                 const endpoint_call& call, const http::response& head,
                                 const refusal& refused)
{
    {
        D::read_request(std::move(received))
        } -> std::same_as<core::result<caller_request>>;
    {
        D::to_endpoint(request, call)
        } -> std::same_as<http::request>;
    {
        D::read_answer(head)
        } -> std::same_as<answer_metadata>;
    {
        D::write_refusal(request, refused)
        } -> std::same_as<http::response>;
};

} // namespace currantpitch::proxy
