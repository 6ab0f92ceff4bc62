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

/// Registration of an endpoint.
struct endpoint_record {
    core::endpoint_id endpoint;
    core::service_id service;
    boost::asio::ip::tcp::endpoint address;
    core::failure_domain_id failure_domain;
    /// Maximum number of requests that run at the same time.
    unsigned concurrency = 1;
    bool draining = false;
    /// Remaining time for which the endpoint accepts few requests, as after its start. Empty if the
    /// registration does not tell it.
    std::optional<std::chrono::milliseconds> cold_time_left{std::chrono::milliseconds(0)};
    /// Distinguishes incarnations registered under the same name. Zero when it is not reported.
    core::incarnation incarnation;

    friend bool operator==(const endpoint_record&, const endpoint_record&) = default;
};

/// Time after the recovery of the store within which running endpoints register again.
inline constexpr std::chrono::milliseconds reregistration_period{2000};
/// Time after a restore of the store within which a registration that is not renewed lapses.
inline constexpr std::chrono::milliseconds stale_registration_lifetime{5000};
/// Time for which a removed endpoint is remembered.
inline constexpr std::chrono::minutes departure_memory{10};
/// Share of the known endpoints that must be missing after an outage to conclude that their
/// registrations lapsed during it. Fewer have left.
inline constexpr double min_lapsed_share = 0.5;

/// The registered endpoints, as known to one process. The latest list stays in use while the store
/// is unavailable. Running endpoints register again after the store recovers: if so many are
/// missing then that their registrations must have lapsed, they are dropped only when
/// reregistration_period has passed.
///
/// A store that was restored from an older copy shows earlier states of the endpoints. An endpoint
/// that drains never becomes ready again as the same incarnation. One that had been removed is not
/// used until it must have renewed its registration.
class endpoint_directory {
public:
    /// Applies a complete listing: endpoints that it lacks are treated as removed.
    void on_listing(const std::vector<endpoint_record>& listing, core::time_point now);
    /// Adds an endpoint or replaces its registration.
    void apply(const endpoint_record& record);
    /// Removes an endpoint. During the re-registration period, it is only marked as missing unless
    /// it was draining.
    void on_removal(const core::endpoint_id& endpoint, core::time_point now);
    /// Starts the re-registration period when the store is available again after an outage.
    void on_store_recovered(core::time_point now);
    /// Takes note that the store was restored from an older copy. Its next listing is the first one
    /// from that copy.
    void on_store_restored(core::time_point now);
    /// Lets removed endpoints that a restored store has shown again be used once they must have
    /// renewed their registration. Returns whether there are any.
    bool readmit(core::time_point now);
    /// Drops the missing endpoints that have left or have not registered again by the end of the
    /// period in which they were missed, even if another one has begun meanwhile. Returns their
    /// names.
    std::vector<core::endpoint_id> expire(core::time_point now);

    /// Lets no endpoint be used until the evacuations are known.
    void await_evacuations() { evacuations_awaited_ = true; }
    /// Replaces the set of evacuated failure domains.
    void set_evacuated(std::set<core::failure_domain_id> domains)
    {
        evacuated_ = std::move(domains);
        evacuations_awaited_ = false;
    }
    const std::set<core::failure_domain_id>& evacuated() const { return evacuated_; }

    const endpoint_record* find(const core::endpoint_id& endpoint) const;
    const std::map<core::endpoint_id, endpoint_record>& all() const { return records_; }
    /// Whether the endpoint may be given new work: it is registered and not draining, its failure
    /// domain is not evacuated, and no endpoint with a newer incarnation is registered at its
    /// address.
    bool usable(const core::endpoint_id& endpoint) const;
    bool empty() const { return records_.empty(); }
    /// Number of removed endpoints that stay in use until the re-registration period ends.
    std::size_t missing_count() const { return missing_.size(); }

private:
    /// Last state of a removed endpoint.
    struct departure {
        core::incarnation incarnation;
        bool draining = false;
        core::time_point at;
    };

    bool in_reregistration_period(core::time_point now) const;
    /// Whether most registrations lapsed during the latest outage, or a restore lost some. If not,
    /// only this process may have been cut off from the store.
    bool registrations_lapsed(core::time_point now) const;
    void remove(const core::endpoint_id& endpoint, core::time_point now);
    bool superseded(const endpoint_record& record) const;

    std::map<core::endpoint_id, endpoint_record> records_;
    /// Endpoints that were removed after the recovery of the store, with the times at which they
    /// are dropped.
    std::map<core::endpoint_id, core::time_point> missing_;
    std::map<core::endpoint_id, departure> departures_;
    /// Removed endpoints that a restored store has shown again.
    std::set<core::endpoint_id> unconfirmed_;
    std::optional<core::time_point> store_restored_at_;
    std::optional<core::time_point> store_recovered_at_;
    /// Number of endpoints when the store recovered, and those that were removed since then.
    std::size_t known_at_recovery_ = 0;
    std::set<core::endpoint_id> removed_since_recovery_;
    std::set<core::failure_domain_id> evacuated_;
    bool evacuations_awaited_ = false;
};

} // namespace currantpitch::directory
