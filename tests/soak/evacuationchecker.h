#pragma once

#include "core/identifiers.h"
#include "core/runtimeclock.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>

namespace currantpitch::soak {

/// Checks that no request reaches an endpoint of an evacuated failure domain after the time within
/// which the evacuation must take effect.
class evacuation_checker {
public:
    /// Reports the failure domain of an endpoint.
    void on_endpoint(const core::endpoint_id& endpoint, const std::string& domain)
    {
        domains_[endpoint] = domain;
    }
    /// Reports that the store has acknowledged the evacuation of a failure domain, or its end.
    void on_evacuated(const std::string& domain, core::time_point acknowledged)
    {
        evacuated_.emplace(domain, acknowledged);
        ++evacuations_;
    }
    void on_lifted(const std::string& domain) { evacuated_.erase(domain); }

    /// Whether a request that the endpoint got at that time came later than the limit allows.
    bool is_late(const core::endpoint_id& endpoint, core::time_point at,
                 std::chrono::milliseconds limit) const
    {
        const auto domain = domains_.find(endpoint);
        const auto evacuated =
            domain == domains_.end() ? evacuated_.end() : evacuated_.find(domain->second);
        return evacuated != evacuated_.end() && at > evacuated->second + limit;
    }
    /// Whether an evacuation must have taken effect by then.
    bool any_in_effect(core::time_point at, std::chrono::milliseconds limit) const
    {
        return std::any_of(evacuated_.begin(), evacuated_.end(),
                           [&](const std::pair<const std::string, core::time_point>& e) {
                               return at > e.second + limit;
                           });
    }
    /// Number of evacuations so far.
    std::size_t evacuations() const { return evacuations_; }

private:
    std::map<core::endpoint_id, std::string> domains_;
    std::map<std::string, core::time_point> evacuated_;
    std::size_t evacuations_ = 0;
};

} // namespace currantpitch::soak
