#pragma once

#include "fakes/memorystore.h"
#include "http/serverconnection.h"

namespace currantpitch::fakes {

/// Serves a memory_store over HTTP. A request to /faults sets the injected faults from its query,
/// for example /faults?away=1.
class store_server {
public:
    explicit store_server(memory_store& store) : store_(store) {}

    core::task<void> operator()(http::server_connection& connection, const http::request& received);

private:
    core::task<void> handle_object(http::server_connection& connection,
                                   const http::request& received);
    core::task<void> handle_watch(http::server_connection& connection,
                                  const http::request& received);
    void set_faults(const http::request& received);

    memory_store& store_;
};

} // namespace currantpitch::fakes
