#pragma once

#include "core/finding.h"

#include <boost/json.hpp>

#include <string>
#include <vector>

namespace currantpitch::ctl {

/// One resource of a manifest and where it stands.
struct manifest_document {
    std::string place;
    boost::json::object body;
};

/// All resources of a YAML file with documents separated by "---", or every finding.
struct manifest {
    core::findings problems;
    std::vector<manifest_document> documents;
};

/// Reads a manifest and checks it by the server's rules. "-" reads standard input.
manifest load_manifest(const std::string& path);

} // namespace currantpitch::ctl
