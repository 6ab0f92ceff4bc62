#pragma once

#include "core/task.h"

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

#include <exception>

namespace currantpitch::http {

/// Maximum number of bytes that one read returns.
inline constexpr std::size_t max_read_bytes = 64 * 1024;

/// Counts and logs an exception that a message has caused.
void record_parse_exception(const std::exception& e);

/// Passes the received bytes to the parser and returns how many it has consumed. An exception, such
/// as one for want of memory, becomes the error buffer_overflow: it would leave the handler of a
/// read and end the process.
template <class Parser>
std::size_t parse_received(Parser& parser, boost::asio::const_buffer received,
                           boost::system::error_code& failure)
{
    try {
        return parser.put(received, failure);
    }
    catch (const std::exception& e) {
        record_parse_exception(e);
        failure = boost::beast::http::error::buffer_overflow;
        return 0;
    }
}

/// Reads from the stream until the parser meets the condition done() or fails. Bytes behind that
/// stay in the buffer. Errors: end_of_stream when the stream ends before the message, those of
/// boost::beast::http::error, and those of the stream.
template <class Stream, class Parser, class Done>
core::task<boost::system::error_code> read_until(Stream& stream, boost::beast::flat_buffer& buffer,
                                                 Parser& parser, Done done)
{
    namespace beast_http = boost::beast::http;
    boost::system::error_code failure;
    while (!done()) {
        bool needs_more = buffer.size() == 0;
        if (!needs_more) {
            buffer.consume(parse_received(parser, buffer.data(), failure));
            needs_more = failure == beast_http::error::need_more;
            if (failure && !needs_more) {
                co_return failure;
            }
        }
        if (!needs_more) {
            continue;
        }
        const std::size_t size = boost::beast::read_size(buffer, max_read_bytes);
        if (size == 0) {
            co_return beast_http::make_error_code(beast_http::error::buffer_overflow);
        }
        const std::size_t received = co_await stream.async_read_some(
            buffer.prepare(size), core::asio::redirect_error(core::asio::use_awaitable, failure));
        buffer.commit(received);
        if (failure == core::asio::error::eof) {
            if (!parser.got_some()) {
                co_return beast_http::make_error_code(beast_http::error::end_of_stream);
            }
            parser.put_eof(failure);
            if (!failure && !done()) {
                failure = beast_http::error::partial_message;
            }
        }
        if (failure) {
            co_return failure;
        }
    }
    co_return boost::system::error_code();
}

} // namespace currantpitch::http
