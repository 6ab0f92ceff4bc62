#include "actions/actionkey.h"

#include "actions/actionsconstants.h"
#include "core/hashing.h"

namespace currantpitch::actions {

using core::errc;
using core::error;

namespace {

// The lengths distinguish ("ab", "c") from ("a", "bc").
std::string join_with_lengths(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts) {
        text += std::to_string(part.size()) + ":";
        text += part;
    }
    return text;
}

} // namespace

action_id id_of(const action_request& request)
{
    return action_id(core::digest(join_with_lengths({request.workspace.str(), request.key})));
}

action_fingerprint fingerprint_of(const action_request& request)
{
    return action_fingerprint(core::digest(
        join_with_lengths({request.service.str(), request.method, request.path, request.body})));
}

unsigned shard_of(const action_id& id, unsigned shards)
{
    return static_cast<unsigned>(core::hash64(id.str()) % shards);
}

core::result<void> check_key(const action_request& request, core::wall_time now)
{
    if (request.key.empty() || request.key.size() > max_key_bytes) {
        return error{errc::invalid_argument,
                     "the key must have 1 to " + std::to_string(max_key_bytes) + " bytes"};
    }
    if (request.issued_at > now + max_clock_skew) {
        return error{errc::invalid_argument, "the key's issue time lies in the future"};
    }
    if (now - request.issued_at > retention) {
        return error{errc::stale, "the key is older than the time for which outcomes are kept"};
    }
    return core::ok();
}

} // namespace currantpitch::actions
