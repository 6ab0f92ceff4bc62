#include "actions/internal/shardcodec.h"

#include <boost/json.hpp>

namespace currantpitch::actions {

namespace json = boost::json;
using core::errc;
using core::error;

namespace {

json::array encode(const action_id& id, const action_record& r)
{
    // A record is an array rather than an object to keep it small. 64-bit numbers are written as
    // text.
    return {id.str(),
            r.fingerprint.str(),
            r.issued_at.time_since_epoch().count(),
            static_cast<int>(r.state),
            std::to_string(r.attempt.entry.value),
            std::to_string(r.attempt.agent.value),
            r.attempt.epoch.value,
            r.attempt.number.value,
            r.agent.str(),
            r.status,
            r.content_type,
            r.body,
            r.body_kept};
}

constexpr std::size_t record_fields = 13;

bool are_strings(const json::array& a, std::initializer_list<std::size_t> indexes)
{
    return std::all_of(indexes.begin(), indexes.end(),
                       [&a](std::size_t i) { return a[i].is_string(); });
}

bool are_unsigned(const json::array& a, std::initializer_list<std::size_t> indexes)
{
    return std::all_of(indexes.begin(), indexes.end(),
                       [&a](std::size_t i) { return a[i].is_int64() && a[i].as_int64() >= 0; });
}

std::uint64_t parse_uint64(const json::value& text)
{
    return std::strtoull(text.as_string().c_str(), nullptr, 10);
}

std::optional<std::pair<action_id, action_record>> decode_record(const json::value& value)
{
    const json::array* const a = value.if_array();
    if (a == nullptr || a->size() != record_fields || !are_strings(*a, {0, 1, 4, 5, 8, 10, 11}) ||
        !are_unsigned(*a, {2, 3, 6, 7, 9}) || !(*a)[12].is_bool() ||
        (*a)[3].as_int64() > static_cast<int>(record_state::last)) {
        return std::nullopt;
    }
    action_record r;
    r.fingerprint = action_fingerprint(std::string((*a)[1].as_string()));
    r.issued_at = core::wall_time(std::chrono::milliseconds((*a)[2].as_int64()));
    r.state = static_cast<record_state>((*a)[3].as_int64());
    r.attempt.entry.value = parse_uint64((*a)[4]);
    r.attempt.agent.value = parse_uint64((*a)[5]);
    r.attempt.epoch.value = static_cast<std::uint64_t>((*a)[6].as_int64());
    r.attempt.number.value = static_cast<std::uint64_t>((*a)[7].as_int64());
    r.agent = core::host_id(std::string((*a)[8].as_string()));
    r.status = static_cast<std::uint32_t>((*a)[9].as_int64());
    r.content_type = std::string((*a)[10].as_string());
    r.body = std::string((*a)[11].as_string());
    r.body_kept = (*a)[12].as_bool();
    return std::pair(action_id(std::string((*a)[0].as_string())), std::move(r));
}

} // namespace

std::string encode_shard(const shard_state& state, const std::string& commit_name)
{
    json::array records;
    records.reserve(state.records().size());
    for (const std::pair<const action_id, action_record>& entry : state.records()) {
        records.push_back(encode(entry.first, entry.second));
    }
    return json::serialize(json::object{{"commit", commit_name}, {"records", std::move(records)}});
}

core::result<decoded_shard> decode_shard(std::string_view body)
{
    boost::system::error_code failure;
    const json::value parsed = json::parse(body, failure);
    const json::object* const fields = failure ? nullptr : parsed.if_object();
    const json::value* const commit = fields ? fields->if_contains("commit") : nullptr;
    const json::value* const records = fields ? fields->if_contains("records") : nullptr;
    if (commit == nullptr || !commit->is_string() || records == nullptr || !records->is_array()) {
        return error{errc::malformed, "not a shard of the ledger"};
    }
    decoded_shard shard;
    shard.commit_name = std::string(commit->as_string());
    for (const json::value& value : records->as_array()) {
        std::optional<std::pair<action_id, action_record>> record = decode_record(value);
        if (!record) {
            return error{errc::malformed, "not a record of the ledger"};
        }
        shard.state.insert(record->first, std::move(record->second));
    }
    return shard;
}

} // namespace currantpitch::actions
