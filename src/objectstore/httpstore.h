#pragma once

#include "http/clientconnection.h"
#include "objectstore/storeclient.h"

#include <deque>

namespace currantpitch::objectstore {

/// A watch over HTTP. The stream carries one JSON event per line.
class http_watch {
public:
    explicit http_watch(http::client_connection connection)
        : connection_(std::move(connection)), lines_("\n")
    {
    }
    core::task<core::result<watch_event>> next(core::time_point deadline);

private:
    http::client_connection connection_;
    http::record_splitter lines_;
};

/// Client of the platform's store over HTTP. Keeps up to max_idle_connections open between calls.
class http_store {
public:
    using watch_type = http_watch;

    http_store(const core::asio::any_io_executor& executor, core::asio::ip::tcp::endpoint address);

    core::task<core::result<object>> get(object_key key, call_context call);
    core::task<core::result<listing>> list(std::vector<std::string> kinds, call_context call);
    core::task<core::result<object>> put(object_key key, std::string body, core::revision expected,
                                         call_context call);
    core::task<core::result<object>> remove(object_key key, core::revision expected,
                                            call_context call);
    core::task<core::result<http_watch>> watch(std::vector<std::string> kinds, core::revision from,
                                               call_context call);

private:
    core::task<core::result<http::client_connection>> acquire_connection(core::time_point deadline);
    core::task<core::result<std::string>> send_request(http::request message, call_context context);

    core::asio::any_io_executor executor_;
    core::asio::ip::tcp::endpoint address_;
    std::deque<http::client_connection> idle_connections_;
};

static_assert(store_client<http_store>);

} // namespace currantpitch::objectstore
