#pragma once

#include "core/memorybudget.h"
#include "http/httpconstants.h"
#include "http/httpmessage.h"

#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>

namespace currantpitch::http {

/// Parses one message into the type of this library. The container of Beast's own parsers throws on
/// fields above 64 KiB, which callers may send where the operator allows such heads. Trailers are
/// ignored.
template <bool is_request>
class message_parser : public boost::beast::http::basic_parser<is_request> {
public:
    using message_type = std::conditional_t<is_request, request, response>;

    /// Where the whole body is collected, memory for a body of a known length is reserved at once.
    enum class body_use { collected, taken_in_pieces };
    /// The share, if there is one, must bear the whole body.
    explicit message_parser(body_use use, core::memory_budget::share* memory = nullptr)
        : use_(use), memory_(memory)
    {
    }

    /// The head, without a body, once it is complete.
    message_type& message() { return message_; }
    /// Returns what has arrived of the body since the last call.
    std::string take_body() { return std::exchange(body_, {}); }
    bool has_body_bytes() const { return !body_.empty(); }

private:
    using text_view = boost::beast::string_view;
    using error_code = boost::system::error_code;
    using verb = boost::beast::http::verb;
    using field = boost::beast::http::field;
    using length = boost::optional<std::uint64_t>;

    void on_request_impl(verb, text_view method, text_view target, int, error_code&) override
    {
        if constexpr (is_request) {
            message_.method = std::string(method);
            message_.target = std::string(target);
        }
    }
    void on_response_impl(int code, text_view, int, error_code&) override
    {
        if constexpr (!is_request) {
            message_.status = static_cast<unsigned>(code);
        }
    }
    void on_field_impl(field, text_view name, text_view value, error_code&) override
    {
        if (!head_complete_) {
            message_.headers.push_back({std::string(name), std::string(value)});
        }
    }
    void on_header_impl(error_code&) override { head_complete_ = true; }
    void on_body_init_impl(const length& content_length, error_code& failure) override
    {
        length_known_ = content_length.has_value();
        if (content_length && !take_memory(*content_length)) {
            failure = make_error_code(boost::system::errc::not_enough_memory);
            return;
        }
        if (content_length && use_ == body_use::collected) {
            body_.reserve(std::min<std::uint64_t>(*content_length, max_reserved_body_bytes));
        }
    }
    std::size_t on_body_impl(text_view bytes, error_code&) override
    {
        body_.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_chunk_header_impl(std::uint64_t, text_view, error_code&) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, text_view bytes, error_code& failure) override
    {
        if (!length_known_ && !take_memory(bytes.size())) {
            failure = make_error_code(boost::system::errc::not_enough_memory);
            return 0;
        }
        body_.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_finish_impl(error_code&) override {}
    bool take_memory(std::uint64_t bytes) { return memory_ == nullptr || memory_->grow(bytes); }

    body_use use_;
    core::memory_budget::share* memory_;
    bool length_known_ = false;
    message_type message_;
    std::string body_;
    bool head_complete_ = false;
};

} // namespace currantpitch::http
