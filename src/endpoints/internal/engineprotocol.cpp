#include "endpoints/internal/engineprotocol.h"

#include <boost/json.hpp>

namespace currantpitch::endpoints {

namespace json = boost::json;
using core::errc;
using core::error;

namespace {

std::uint64_t unsigned_or_zero(const json::object& from, std::string_view field)
{
    const json::value* const value = from.if_contains(field);
    if (value == nullptr) {
        return 0;
    }
    if (value->is_string()) {
        return std::strtoull(value->as_string().c_str(), nullptr, 10);
    }
    const bool non_negative = value->is_int64() && value->as_int64() >= 0;
    return non_negative ? static_cast<std::uint64_t>(value->as_int64()) : 0;
}

std::optional<json::object> parse_object(std::string_view text)
{
    boost::system::error_code failure;
    json::value parsed = json::parse(text, failure);
    if (failure || !parsed.is_object()) {
        return std::nullopt;
    }
    return std::move(parsed.as_object());
}

} // namespace

namespace {

bool bool_or_false(const json::object& from, std::string_view field)
{
    const json::value* const value = from.if_contains(field);
    return value != nullptr && value->is_bool() && value->as_bool();
}

} // namespace

core::result<engine_event> parse_event(std::string_view record)
{
    engine_event event;
    constexpr std::string_view done_head = "event: done\n";
    constexpr std::string_view data_head = "data: ";
    if (record.starts_with(done_head)) {
        event.done = true;
        record.remove_prefix(done_head.size());
    }
    if (!record.starts_with(data_head)) {
        return error{errc::malformed, "no data in the event"};
    }
    record.remove_prefix(data_head.size());
    const std::optional<json::object> data = parse_object(record);
    if (!data) {
        return error{errc::malformed, "the event's data is not JSON"};
    }
    const json::value* const token = data->if_contains("token");
    if (!event.done && (token == nullptr || !token->is_string())) {
        return error{errc::malformed, "no token in the event"};
    }
    event.offset = unsigned_or_zero(*data, "offset");
    event.count = unsigned_or_zero(*data, "count");
    event.token = event.done ? "" : std::string(token->as_string());
    return event;
}

core::result<endpoint_status> parse_status(std::string_view text)
{
    const std::optional<json::object> data = parse_object(text);
    if (!data) {
        return error{errc::malformed, "the status is not JSON"};
    }
    endpoint_status status;
    status.incarnation.value = unsigned_or_zero(*data, "incarnation");
    status.running = static_cast<std::uint32_t>(unsigned_or_zero(*data, "running"));
    status.age = std::chrono::milliseconds(unsigned_or_zero(*data, "age_ms"));
    status.step.value = unsigned_or_zero(*data, "step");
    status.map.value = unsigned_or_zero(*data, "map_version");
    status.fresh = bool_or_false(*data, "fresh");
    status.prepared_map.value = unsigned_or_zero(*data, "prepared_version");
    status.prepared_step.value = unsigned_or_zero(*data, "prepared_step");
    status.prepared_committed = bool_or_false(*data, "prepared_committed");
    status.rank_step_time = std::chrono::nanoseconds(unsigned_or_zero(*data, "rank_step_ns"));
    const json::value* const experts = data->if_contains("expert_tokens");
    if (experts != nullptr && experts->is_array()) {
        for (const json::value& count : experts->as_array()) {
            status.expert_tokens.push_back(count.is_number() ? count.to_number<double>() : 0);
        }
    }
    return status;
}

} // namespace currantpitch::endpoints
