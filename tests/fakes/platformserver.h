#pragma once

#include "fakes/memoryplatform.h"
#include "http/serverconnection.h"

namespace currantpitch::fakes {

/// Serves a store in memory over HTTP. POST /faults switches faults by query, for example
/// /faults?away=1.
class platform_server {
public:
    explicit platform_server(memory_platform& store) : store_(store) {}

    core::task<void> operator()(http::server_connection& connection, const http::request& received);

private:
    core::task<void> answer_object(http::server_connection& connection,
                                   const http::request& received);
    core::task<void> answer_watch(http::server_connection& connection,
                                  const http::request& received);
    void set_faults(const http::request& received);

    memory_platform& store_;
};

} // namespace currantpitch::fakes
