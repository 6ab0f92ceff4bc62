#pragma once

#include "core/task.h"
#include "core/timer.h"
#include "http/clientconnection.h"
#include "load/loadreport.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace currantpitch::load {

/// Caches the entry addresses of each workspace for the lifetime that an entry states with them.
class address_book {
public:
    explicit address_book(std::vector<std::string> seeds) : seed_servers_(std::move(seeds)) {}

    /// Returns a random address for the workspace, or an empty string if none is known. Queries the
    /// entries when the cached addresses have expired.
    core::task<std::string> address_for(std::string workspace, std::mt19937_64& random);
    /// Drops the cached addresses of a workspace after a connection failed.
    void forget(const std::string& workspace) { cache_.erase(workspace); }

private:
    struct cached_addresses {
        std::vector<std::string> addresses;
        core::time_point expires;
    };
    core::task<bool> query_addresses(std::string server, std::string workspace);

    std::vector<std::string> seed_servers_;
    std::map<std::string, cached_addresses> cache_;
};

/// A caller that sends its requests one after another over its own connections.
class caller {
public:
    caller(address_book& addresses, load_report& report, std::string workspace, std::uint64_t seed)
        : addresses_(addresses), report_(report), workspace_(std::move(workspace)), random_(seed)
    {
    }

    /// Sends generation requests. Retries a request while no entry can be reached or it is refused
    /// before anything ran.
    core::task<void> generate(std::uint64_t count, std::uint64_t tokens);
    /// Sends calls with idempotency keys to a plain service.
    core::task<void> call(std::uint64_t count, std::string service, std::string prefix);

private:
    core::task<request_outcome> generate_once(std::string prompt, std::uint64_t tokens);
    core::task<request_outcome> call_once(std::string service, std::string key);
    /// Returns an open connection to an entry, or null if none could be opened.
    core::task<http::client_connection*> connection();
    core::task<request_outcome> read_answer(http::client_connection& client, std::uint64_t tokens,
                                            core::time_point started_at);
    void drop_connection();

    address_book& addresses_;
    load_report& report_;
    std::string workspace_;
    std::mt19937_64 random_;
    std::map<std::string, http::client_connection> connections_;
    std::string address_;
    std::uint64_t sent_ = 0;
};

} // namespace currantpitch::load
