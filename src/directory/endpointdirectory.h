#pragma once

#include "core/identifiers.h"
#include "core/runtimeclock.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace currantpitch::directory {

/// What an endpoint has registered of itself.
struct endpoint_record {
    core::endpoint_id endpoint;
    core::service_id service;
    boost::asio::ip::tcp::endpoint address;
    core::failure_domain_id failure_domain;
    /// Requests that it runs at the same time.
    unsigned concurrency = 1;
    bool draining = false;
    /// Time for which it stays slow after its start.
    std::chrono::milliseconds cold_time_left{};
    /// Tells two lives under one name apart; zero when it is not told.
    core::incarnation incarnation;

    friend bool operator==(const endpoint_record&, const endpoint_record&) = default;
};

/// Time after the store's return within which live endpoints register again.
inline constexpr std::chrono::milliseconds reregistration_time{2000};

/// The registered endpoints as one process knows them. While the store is away the last list
/// stands; what is missing when it is back is dropped only once it had time to register again.
class endpoint_directory {
public:
    /// Applies a complete listing: endpoints that it lacks are treated as removed.
    void on_listing(const std::vector<endpoint_record>& present, core::time_point now);
    void take(const endpoint_record& record);
    void on_removal(const core::endpoint_id& endpoint, core::time_point now);
    /// The store answers again after an outage.
    void on_store_recovered(core::time_point now);
    /// Drops what has not come back in time; the names of what was dropped.
    std::vector<core::endpoint_id> expire(core::time_point now);

    const endpoint_record* find(const core::endpoint_id& endpoint) const;
    const std::map<core::endpoint_id, endpoint_record>& all() const { return records_; }
    /// Whether new work may be given to the endpoint: it is registered, does not drain, and no
    /// younger one has registered at its address since.
    bool usable(const core::endpoint_id& endpoint) const;
    bool empty() const { return records_.empty(); }

private:
    bool returning(core::time_point now) const;
    bool superseded(const endpoint_record& record) const;

    std::map<core::endpoint_id, endpoint_record> records_;
    /// Missing since the store is back, and not yet dropped.
    std::set<core::endpoint_id> missing_;
    std::optional<core::time_point> store_back_;
};

} // namespace currantpitch::directory
