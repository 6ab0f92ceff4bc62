#include "fakes/enginegroup.h"

#include "core/hashing.h"

#include <boost/json.hpp>

namespace currantpitch::fakes {

namespace json = boost::json;

namespace {

std::uint64_t number_field(const json::object& from, std::string_view field, std::uint64_t fallback)
{
    const json::value* const value = from.if_contains(field);
    const bool valid = value != nullptr && value->is_int64() && value->as_int64() >= 0;
    return valid ? static_cast<std::uint64_t>(value->as_int64()) : fallback;
}

json::object parse_object(const std::string& text)
{
    boost::system::error_code failure;
    json::value parsed = json::parse(text, failure);
    return !failure && parsed.is_object() ? parsed.as_object() : json::object();
}

std::string string_field(const json::object& from, std::string_view field)
{
    const json::value* const value = from.if_contains(field);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

} // namespace

std::string token_at(const std::string& prompt, std::uint64_t offset)
{
    return "w" + std::to_string(core::hash64(prompt, offset) % 1000) + " ";
}

engine_group::engine_group(const core::asio::any_io_executor& executor,
                           engine_group_options options)
    : ranks(options.ranks), options_(options), step_done_(executor)
{
    for (std::size_t i = 0; i < ranks.size(); ++i) {
        ranks[i].incarnation = 1000 * (i + 1) + 1;
        ranks[i].expert_tokens.assign(options.experts, 0);
    }
}

bool engine_group::step_blocked() const
{
    for (const engine_rank& rank : ranks) {
        const bool waits_for_outcome =
            rank.prepared && !rank.prepared->committed && rank.prepared->step <= step + 1;
        if (waits_for_outcome || rank.fresh) {
            return true;
        }
    }
    return false;
}

void engine_group::begin_step()
{
    ++step;
    for (engine_rank& rank : ranks) {
        if (rank.prepared && rank.prepared->committed && rank.prepared->step <= step) {
            rank.active_map = rank.prepared->version;
            rank.prepared.reset();
        }
    }
    bool mismatch = false;
    for (const engine_rank& rank : ranks) {
        mismatch = mismatch || rank.active_map != ranks.front().active_map;
    }
    mismatched_steps += mismatch ? 1 : 0;
}

core::task<void> engine_group::run_steps()
{
    while (true) {
        double max_factor = 1;
        for (const engine_rank& rank : ranks) {
            max_factor = std::max(max_factor, rank.step_time_factor);
        }
        co_await core::sleep_for(std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double, std::milli>(options_.step_time) * max_factor));
        if (step_blocked()) {
            ++stalled_steps;
            continue;
        }
        begin_step();
        step_done_.notify();
    }
}

core::task<void> engine_group::handle(std::size_t rank, http::server_connection& connection,
                                      const http::request& received)
{
    if (core::runtime_clock::now() < ranks[rank].down_until) {
        connection.close();
        co_return;
    }
    if (received.path() == "/v1/completions") {
        co_await serve_completion(rank, connection, received);
        co_return;
    }
    http::response answer;
    if (received.path() == "/orders") {
        const std::pair<unsigned, std::string> outcome = order(rank, received.body);
        answer.status = outcome.first;
        answer.body = outcome.second;
    }
    else {
        answer.body = status(rank);
    }
    co_await connection.reply(std::move(answer));
}

core::task<void> engine_group::serve_completion(std::size_t rank,
                                                http::server_connection& connection,
                                                const http::request& received)
{
    const json::object request_body = parse_object(received.body);
    const std::string prompt = string_field(request_body, "prompt");
    const std::uint64_t count = number_field(request_body, "max_tokens", 16);
    const std::uint64_t first =
        std::strtoull(received.header_value("X-Resume-From").value_or("0").c_str(), nullptr, 10);
    const std::uint64_t incarnation = ranks[rank].incarnation;
    if (prompt.find("crash-the-engine") != std::string::npos) {
        ++crashes;
        kill(rank);
        connection.close();
        co_return;
    }
    co_await connection.begin_stream("text/event-stream");
    ++ranks[rank].running;
    for (std::uint64_t i = first; i < count; ++i) {
        const std::uint64_t step_at_start = step;
        while (step == step_at_start) {
            co_await step_done_.wait();
        }
        if (ranks[rank].incarnation != incarnation) {
            connection.close();
            co_return;
        }
        const std::string token = token_at(prompt, i);
        ranks[rank].expert_tokens[core::hash64(token) % options_.experts] += 1;
        const json::object event{{"offset", i}, {"token", token}};
        const core::result<void> written =
            co_await connection.write_chunk("data: " + json::serialize(event) + "\n\n");
        if (!written) {
            break;
        }
    }
    --ranks[rank].running;
    const json::object done{{"count", count}};
    co_await connection.write_chunk("event: done\ndata: " + json::serialize(done) + "\n\n");
    co_await connection.end_stream();
}

void engine_group::kill(std::size_t index)
{
    engine_rank& rank = ranks[index];
    ++rank.incarnation;
    rank.down_until = core::runtime_clock::now() + options_.restart_time;
    rank.running = 0;
    rank.expert_tokens.assign(options_.experts, 0);
    if (options_.ranks_lose_state) {
        rank.fresh = true;
        rank.staged_map.reset();
        rank.prepared.reset();
    }
}

std::pair<unsigned, std::string> engine_group::order(std::size_t index, const std::string& body)
{
    engine_rank& rank = ranks[index];
    const json::object request_body = parse_object(body);
    const std::string order_type = string_field(request_body, "order");
    const std::uint64_t fence = number_field(request_body, "fence", 0);
    const std::uint64_t version = number_field(request_body, "version", 0);
    if (options_.checks_fencing && fence < rank.max_fence) {
        return {409, "old fencing number"};
    }
    rank.max_fence = std::max(rank.max_fence, fence);
    if (order_type == "stage") {
        rank.staged_map = version;
    }
    else if (order_type == "prepare") {
        const std::uint64_t at = number_field(request_body, "step", 0);
        if (at <= step || rank.staged_map != version) {
            return {409, at <= step ? "the step has begun" : "the map is not staged"};
        }
        rank.prepared = engine_rank::prepared_map{version, at, false};
    }
    else if (order_type == "commit") {
        if (!rank.prepared || rank.prepared->version != version) {
            return {rank.active_map == version ? 200U : 409U, "not prepared"};
        }
        rank.prepared->committed = true;
    }
    else if (order_type == "abort") {
        if (rank.prepared && rank.prepared->committed) {
            return {409, "committed"};
        }
        rank.prepared.reset();
    }
    else if (order_type == "adopt") {
        rank.fresh = false;
        rank.active_map = version;
        const std::uint64_t next_version = number_field(request_body, "next_version", 0);
        if (next_version != 0) {
            rank.prepared = engine_rank::prepared_map{
                next_version, number_field(request_body, "next_step", 0), true};
        }
    }
    else {
        return {400, "unknown order"};
    }
    return {200, "done"};
}

std::string engine_group::status(std::size_t index) const
{
    const engine_rank& rank = ranks[index];
    const std::chrono::nanoseconds rank_step_time(static_cast<std::int64_t>(
        static_cast<double>(std::chrono::nanoseconds(options_.step_time).count()) *
        rank.step_time_factor));
    const engine_rank::prepared_map prepared = rank.prepared.value_or(engine_rank::prepared_map{});
    return json::serialize(json::object{
        {"incarnation", std::to_string(rank.incarnation)},
        {"fresh", rank.fresh},
        {"prepared_version", prepared.version},
        {"prepared_step", prepared.step},
        {"prepared_committed", prepared.committed},
        {"running", rank.running},
        {"age_ms", options_.report_lag.count()},
        {"step", step},
        {"map_version", rank.active_map},
        {"rank_step_ns", rank_step_time.count()},
        {"expert_tokens", json::array(rank.expert_tokens.begin(), rank.expert_tokens.end())}});
}

} // namespace currantpitch::fakes
