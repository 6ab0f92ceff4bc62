#pragma once

#include "actions/shardstate.h"

#include <string>
#include <string_view>

namespace currantpitch::actions {

/// Body of a shard's object. The commit names the write, so that its writer knows it again.
std::string encode_shard(const shard_state& state, const std::string& commit);

/// A shard as read from its object.
struct decoded_shard {
    shard_state state;
    std::string commit;
};

/// The reverse; errc::malformed when the body is none of ours.
core::result<decoded_shard> decode_shard(std::string_view body);

} // namespace currantpitch::actions
