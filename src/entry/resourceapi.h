#pragma once

#include "entry/entrypeers.h"
#include "http/serverconnection.h"
#include "intents/resourceservice.h"

namespace currantpitch::entry {

/// Serves the resource API over HTTP and JSON below /api/v1.
class resource_api {
public:
    resource_api(entry_context& context, objectstore::http_store& store, entry_peers& peers)
        : context_(context), store_(store), peers_(peers), service_(store, context.random())
    {
    }

    core::task<void> handle(http::server_connection& connection, const http::request& received);

private:
    core::task<http::response> answer(const http::request& received);
    http::response list(intents::resource_kind kind) const;
    core::task<http::response> get(intents::resource_kind kind, std::string name);
    core::task<http::response> write(const http::request& received, intents::resource_kind kind,
                                     std::optional<std::string> name);
    core::task<http::response> remove(const http::request& received, intents::resource_kind kind,
                                      std::string name);
    core::task<http::response> drain_host(std::string name);
    core::task<void> watch(http::server_connection& connection, const http::request& received);
    boost::json::object with_status(const intents::resource& r) const;
    boost::json::array conditions(const intents::resource& r) const;

    entry_context& context_;
    objectstore::http_store& store_;
    entry_peers& peers_;
    intents::resource_service<objectstore::http_store> service_;
};

} // namespace currantpitch::entry
