#pragma once

#include "core/finding.h"
#include "core/identifiers.h"
#include "settings/daemonsettings.h"

#include <chrono>
#include <optional>
#include <string>

namespace currantpitch::settings {

enum class node_role { gateway, rank_agent };

/// Settings of a process that serves declared routes: a gateway, which callers connect to, or a
/// rank agent, which stands beside an engine. Read at the start and whenever they change.
struct node_settings {
    node_role role = node_role::gateway;
    core::host_id host;
    core::failure_domain_id failure_domain;
    address store_address;
    /// Where the process listens for other processes of the system.
    address peer_address;
    /// Where counters and histograms are served.
    address metrics_address;
    std::chrono::milliseconds stop_timeout = default_stop_timeout;

    /// Gateways only: where callers connect, where they ask for addresses, and where the platform
    /// asks whether the process is ready.
    address caller_address;
    address directory_address;
    address readiness_address;
    /// Gateways only: time within which a key that was taken away must no longer work anywhere.
    std::chrono::milliseconds revocation_time{5000};
    /// Gateways only: repeats of a service's requests by all gateways together, for each request
    /// and besides, within a window.
    double retry_ratio = 0.1;
    double retry_slack = 0;
    std::chrono::milliseconds retry_window{10000};

    /// Rank agents only: the engine on this host and the service that it belongs to.
    address engine_address;
    core::service_id service;
};

struct node_settings_report {
    core::findings problems;
    std::optional<node_settings> settings;
};

/// Reads settings from YAML text. Places in the findings are "file:line:column".
node_settings_report read_node_settings(const std::string& text, const std::string& file_name);
/// Reads settings from a file; a file that cannot be read is a finding.
node_settings_report load_node_settings(const std::string& path);

} // namespace currantpitch::settings
