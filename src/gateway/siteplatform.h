#pragma once

#include "directory/endpointdirectory.h"
#include "objectstore/storeclient.h"
#include "proxy/proxymessages.h"
#include "routes/routetable.h"

#include <chrono>
#include <concepts>
#include <string>
#include <string_view>
#include <vector>

namespace currantpitch::gateway {

/// Query of a caller for the entries that it may use.
struct directory_query {
    /// Failure domain of the caller. Its entries come first in the answer.
    core::failure_domain_id caller_failure_domain;
};

/// Requirements on the platform that a gateway runs on: a store client, the format of requests and
/// answers, and the location and encoding of the configuration and the endpoints in the store.
template <class S>
concept site_platform = objectstore::store_client<typename S::store> &&
    proxy::proxy_dialect<typename S::dialect> &&
    requires(const objectstore::object& o, const http::request& request,
             const std::vector<std::string>& addresses, std::chrono::seconds lifetime)
{
    {
        S::configuration_key()
        } -> std::same_as<objectstore::object_key>;
    {
        S::endpoint_kind()
        } -> std::same_as<std::string>;
    {
        S::evacuation_kind()
        } -> std::same_as<std::string>;
    {
        S::decode_evacuation(o)
        } -> std::same_as<core::result<core::failure_domain_id>>;
    {
        S::decode_configuration(o.body)
        } -> std::same_as<core::result<routes::configuration>>;
    {
        S::decode_endpoint(o)
        } -> std::same_as<core::result<directory::endpoint_record>>;
    {
        S::read_query(request)
        } -> std::same_as<core::result<directory_query>>;
    {
        S::write_addresses(addresses, lifetime)
        } -> std::same_as<http::response>;
};

} // namespace currantpitch::gateway
