#pragma once

#include "currantpitchctl/apiclient.h"
#include "currantpitchctl/output.h"

#include <string>

namespace currantpitch::ctl {

/// What all commands share.
struct command_context {
    std::vector<std::string> servers;
    output_format format = output_format::table;
};

// Each command prints its outcome and returns the tool's exit code.

/// Creates or updates the resources of a manifest, each on the version that it has now.
int apply_manifest(const command_context& context, const std::string& path);
/// Checks a manifest without a server.
int validate(const std::string& path);
int get(const command_context& context, const std::string& kind, const std::string& name);
int describe_resource(const command_context& context, const std::string& kind,
                      const std::string& name);
/// Prints changes until interrupted, or until so many lines have come.
int watch(const command_context& context, const std::string& kind, unsigned lines);
int remove(const command_context& context, const std::string& kind, const std::string& name);
/// Takes an endpoint or an entry out of service without cutting anything off.
int drain(const command_context& context, const std::string& kind, const std::string& name);
/// Prints the entries that a workspace's callers are to use.
int addresses(const command_context& context, const std::string& workspace);

} // namespace currantpitch::ctl
