#pragma once

#include "core/finding.h"

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace currantpitch::ctl {

/// One resource of a manifest and its location, "file:line".
struct manifest_document {
    std::string location;
    boost::json::object body;
};

/// All resources and findings of a YAML file with documents separated by "---".
struct manifest {
    core::findings problems;
    std::vector<manifest_document> documents;
};

/// Reads a manifest and validates it by the same rules as the server. The path "-" means standard
/// input.
manifest load_manifest(const std::string& path);

} // namespace currantpitch::ctl
