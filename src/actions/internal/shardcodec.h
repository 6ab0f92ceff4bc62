#pragma once

#include "actions/shardstate.h"

#include <string>
#include <string_view>

namespace currantpitch::actions {

/// Encodes the body of a shard's object. The commit name identifies the write, so that its writer
/// can recognize it.
std::string encode_shard(const shard_state& state, const std::string& commit_name);

/// A shard as read from its object.
struct decoded_shard {
    shard_state state;
    std::string commit_name;
};

/// Decodes the body of a shard's object. Returns errc::malformed if it is not a valid shard.
core::result<decoded_shard> decode_shard(std::string_view body);

} // namespace currantpitch::actions
