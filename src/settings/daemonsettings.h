#pragma once

#include "core/finding.h"
#include "core/identifiers.h"
#include "settings/settingsconstants.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace currantpitch::settings {

using address = boost::asio::ip::tcp::endpoint;

enum class process_role { entry, agent };
enum class endpoint_type { engine, service };

/// Settings of one daemon process, read once at startup.
struct daemon_settings {
    process_role role = process_role::entry;
    core::host_id host;
    core::failure_domain_id failure_domain;
    /// Address on which the process listens for other processes of the system.
    address peer_address;
    address platform_address;

    /// Entries only: address on which the process listens for callers and operators.
    address caller_address;
    /// Entries only: peers that are queried for the configuration while the platform is
    /// unavailable.
    std::vector<address> seed_peers;
    std::chrono::milliseconds address_lifetime = default_address_lifetime;
    std::chrono::milliseconds stop_timeout = default_stop_timeout;
    unsigned ledger_shards = default_ledger_shards;

    /// Agents only: address and type of the endpoint on this host, and the name of its Endpoint
    /// resource.
    address endpoint_address;
    endpoint_type endpoint = endpoint_type::engine;
    core::endpoint_id endpoint_name;
};

/// Result of reading settings: what cannot be read, the numbers that were moved into the range of
/// their setting, and the settings if there are no problems.
struct settings_report {
    core::findings problems;
    core::findings adjustments;
    std::optional<daemon_settings> settings;
};

/// Reads settings from YAML text. Locations in the findings are "file:line:column".
settings_report read_settings(const std::string& text, const std::string& file_name);

/// Reads settings from a file. A file that cannot be read is reported as a finding.
settings_report load_settings(const std::string& path);

} // namespace currantpitch::settings
