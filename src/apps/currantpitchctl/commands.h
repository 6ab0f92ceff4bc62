#pragma once

#include "currantpitchctl/apiclient.h"
#include "currantpitchctl/output.h"

#include <string>

namespace currantpitch::ctl {

/// Options that apply to all commands.
struct command_context {
    std::vector<std::string> servers;
    output_format format = output_format::table;
};

// Each command prints its result and returns the exit code of the tool.

/// Creates or updates the resources of a manifest. Without a version in the manifest, an update
/// uses the current version of the resource.
int apply_manifest(const command_context& context, const std::string& path);
/// Checks a manifest without contacting a server.
int validate(const std::string& path);
int get(const command_context& context, const std::string& kind, const std::string& name);
int describe_resource(const command_context& context, const std::string& kind,
                      const std::string& name);
/// Prints changes until interrupted or, if lines is not 0, until that many lines are printed.
int watch(const command_context& context, const std::string& kind, unsigned lines);
int remove(const command_context& context, const std::string& kind, const std::string& name);
/// Takes an endpoint or a host out of service without cutting off requests in flight.
int drain(const command_context& context, const std::string& kind, const std::string& name);
/// Prints the addresses of the entries that callers of a workspace should use.
int addresses(const command_context& context, const std::string& workspace);

} // namespace currantpitch::ctl
