#pragma once

#include "core/finding.h"
#include "core/identifiers.h"
#include "settings/daemonsettings.h"

#include <chrono>
#include <optional>
#include <string>

namespace currantpitch::settings {

enum class node_role { gateway, rank_agent };

struct cold_start_settings {
    double overshoot = 1;
    double tolerance = 0;
};

/// Settings of a process that serves declared routes. A gateway accepts connections from callers; a
/// rank agent runs beside an engine. Read at startup and whenever they change.
struct node_settings {
    node_role role = node_role::gateway;
    core::host_id host;
    core::failure_domain_id failure_domain;
    address store_address;
    /// Address on which the process listens for other processes of the system.
    address peer_address;
    /// Address on which metrics are served.
    address metrics_address;
    std::chrono::milliseconds stop_timeout = default_stop_timeout;

    /// Memory that the process may use, in MiB. Not set if it is unknown.
    std::optional<double> memory_mib;

    /// Gateways only: addresses on which the process listens for callers, for address queries of
    /// callers and for the platform's readiness checks.
    address caller_address;
    address directory_address;
    address readiness_address;
    /// Gateways only: time within which a revoked key must be rejected everywhere. If it is shorter
    /// than the store's answers take, requests with keys are refused.
    std::chrono::milliseconds revocation_time{5000};
    /// Gateways only: limit on the retries of a service's requests by all gateways together. Within
    /// retry_window, retry_ratio retries are allowed for each request and retry_slack in addition.
    double retry_ratio = 0.1;
    double retry_slack = 0;
    std::chrono::milliseconds retry_window{10000};
    /// Gateways only: time within which the evacuation of a failure domain must take effect
    /// everywhere. Evacuations are followed only where it is set.
    std::optional<std::chrono::milliseconds> evacuation_time;
    /// Gateways only: bound on the requests that a cold endpoint gets within any second from all
    /// gateways together, as a multiple of the rate that its service declares and a number of
    /// requests in addition. Without it, cold endpoints are treated like the others.
    std::optional<cold_start_settings> cold_start;
    /// Gateways only: whether the concurrency that an endpoint handles well is learned. Otherwise
    /// the declared one is used.
    bool learn_capacity = false;

    /// Rank agents only: address of the engine on this host and the service that it belongs to.
    address engine_address;
    core::service_id service;
};

/// Result of reading settings: what cannot be read, the numbers that were moved into the range of
/// their setting, and the settings if there are no problems.
struct node_settings_report {
    core::findings problems;
    core::findings adjustments;
    std::optional<node_settings> settings;
};

/// Reads settings from YAML text. Locations in the findings are "file:line:column".
node_settings_report read_node_settings(const std::string& text, const std::string& file_name);
/// Reads settings from a file. A file that cannot be read is reported as a finding.
node_settings_report load_node_settings(const std::string& path);

} // namespace currantpitch::settings
