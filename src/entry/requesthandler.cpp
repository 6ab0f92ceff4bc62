#include "entry/requesthandler.h"

#include "core/counters.h"
#include "core/eventlog.h"
#include "core/hashing.h"
#include "entry/entryconstants.h"
#include "entry/internal/answerjson.h"
#include "intents/fieldreader.h"
#include "routing/routingconstants.h"

namespace currantpitch::entry {

namespace json = boost::json;

namespace {

constexpr std::string_view call_path_prefix = "/v1/call/";

std::int64_t parse_integer_or(const std::optional<std::string>& text, std::int64_t fallback)
{
    if (!text) {
        return fallback;
    }
    char* end = nullptr;
    const std::int64_t number = std::strtoll(text->c_str(), &end, 10);
    return end == text->c_str() || *end != '\0' ? fallback : number;
}

/// Releases the admission of a request in whatever way its task ends.
class admission_guard {
public:
    admission_guard(entry_context& context, core::service_id service, core::workspace_id workspace)
        : context_(context), service_(std::move(service)), workspace_(std::move(workspace)),
          started_at_(core::runtime_clock::now())
    {
    }
    admission_guard(const admission_guard&) = delete;
    admission_guard& operator=(const admission_guard&) = delete;
    ~admission_guard()
    {
        context_.service(service_).gate.release(workspace_,
                                                core::runtime_clock::now() - started_at_);
    }

private:
    entry_context& context_;
    core::service_id service_;
    core::workspace_id workspace_;
    core::time_point started_at_;
};

/// Counts a request as in flight during its lifetime. A planned stop waits for these requests.
class in_flight_guard {
public:
    explicit in_flight_guard(entry_context& context) : context_(context) { ++context_.in_flight; }
    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;
    ~in_flight_guard() { --context_.in_flight; }

private:
    entry_context& context_;
};

/// Parsed body of a generation request, with the problems found in it.
struct generation_body {
    core::findings problems;
    std::string prompt;
};

generation_body parse_generation(const std::string& text)
{
    generation_body body;
    boost::system::error_code failure;
    const json::value parsed = json::parse(text, failure);
    if (failure || !parsed.is_object()) {
        body.problems.push_back({"", "must be a JSON object"});
        return body;
    }
    intents::field_reader reader(parsed.as_object(), "", body.problems);
    body.prompt = reader.text("prompt");
    reader.integer("max_tokens", 1, max_tokens);
    return body;
}

} // namespace

request_handler::request_handler(entry_context& context, agent_directory& agents,
                                 entry_peers& peers, call_runner& calls, resource_api& resources)
    : context_(context), agents_(agents), peers_(peers), calls_(calls), resource_api_(resources)
{
    crash_listener_.on_crash = [this](const admission::crash_record& record) {
        peers_.announce_crash(record);
    };
    crash_listener_.on_clearance = [this](const admission::fingerprint& f) {
        peers_.announce_clearance(f);
    };
}

core::task<void> request_handler::operator()(http::server_connection& connection,
                                             const http::request& received)
{
    const in_flight_guard counted(context_);
    co_await dispatch(connection, received);
    if (context_.refuses_new_work) {
        connection.close();
    }
}

core::task<void> request_handler::dispatch(http::server_connection& connection,
                                           const http::request& received)
{
    const std::string_view path = received.path();
    if (path == "/v1/generate" && received.method == "POST") {
        co_await generate(connection, received);
        co_return;
    }
    if (path.starts_with(call_path_prefix)) {
        co_await call(connection, received);
        co_return;
    }
    if (path.starts_with("/api/v1/")) {
        co_await resource_api_.handle(connection, received);
        co_return;
    }
    http::response answer;
    if (path == "/v1/addresses") {
        answer = addresses(received);
    }
    else if (path == "/metrics") {
        answer.content_type = "text/plain; version=0.0.4";
        answer.body = core::metrics_text();
    }
    else if (path == "/healthz" || path == "/readyz") {
        answer = health(received);
    }
    else {
        answer = not_run_answer(404, "no such path");
    }
    co_await connection.reply(std::move(answer));
}

http::response request_handler::health(const http::request& received) const
{
    const bool ready = peers_.ready() && !context_.stopping;
    const bool healthy = received.path() == "/healthz" || ready;
    http::response answer;
    answer.status = healthy ? 200 : 503;
    answer.body = json::serialize(json::object{{"ready", ready},
                                               {"stopping", context_.stopping},
                                               {"revision", peers_.complete().value},
                                               {"agents", agents_.connected()},
                                               {"in_flight", context_.in_flight}});
    return answer;
}

http::response request_handler::addresses(const http::request& received) const
{
    const core::workspace_id workspace(received.query("workspace").value_or(""));
    const auto found = context_.catalog.workspaces().find(workspace);
    if (found == context_.catalog.workspaces().end()) {
        return not_run_answer(404, "unknown workspace");
    }
    membership::address_query query;
    query.workspace = workspace;
    query.requested_entries = static_cast<std::size_t>(found->second.spec.entries);
    query.share = static_cast<double>(found->second.spec.share);
    query.total_share = 0;
    for (const std::pair<const core::workspace_id, intents::versioned<intents::workspace_spec>>&
             entry : context_.catalog.workspaces()) {
        query.total_share += static_cast<double>(entry.second.spec.share);
    }
    const std::optional<std::string> failure_domain = received.query("failure_domain");
    if (failure_domain) {
        query.caller_failure_domain = core::failure_domain_id(*failure_domain);
    }
    query.lifetime = context_.settings.address_lifetime;
    const membership::address_answer selected =
        membership::answer_addresses(query, peers_.entries());
    json::array list;
    for (const membership::entry_address& a : selected.addresses) {
        list.push_back({{"address", a.address}, {"failure_domain", a.failure_domain.str()}});
    }
    http::response answer;
    answer.status = list.empty() ? 503 : 200;
    answer.body = json::serialize(json::object{{"workspace", workspace.str()},
                                               {"addresses", std::move(list)},
                                               {"lifetime_ms", selected.lifetime.count()}});
    return answer;
}

http::response request_handler::stopping_answer(const core::workspace_id& workspace) const
{
    http::request address_request;
    address_request.target = "/v1/addresses?workspace=" + http::percent_encode(workspace.str());
    const http::response other_addresses = addresses(address_request);
    http::response answer = not_run_answer(503, "stopping", default_retry_after);
    boost::system::error_code failure;
    json::value body = json::parse(answer.body);
    const json::value listed = json::parse(other_addresses.body, failure);
    if (!failure && listed.is_object() && listed.as_object().contains("addresses")) {
        body.as_object()["addresses"] = listed.as_object().at("addresses");
    }
    answer.body = json::serialize(body);
    return answer;
}

core::result<request_handler::checked_request>
request_handler::check(const http::request& received,
                       const std::optional<core::service_id>& service, intents::endpoint_role role,
                       http::response& refusal) const
{
    const core::error refused{core::errc::refused, ""};
    checked_request request;
    request.workspace = core::workspace_id(received.header_value("X-Workspace").value_or(""));
    if (context_.refuses_new_work) {
        refusal = stopping_answer(request.workspace);
        return refused;
    }
    if (!peers_.ready()) {
        refusal = not_run_answer(503, "not ready", default_retry_after);
        return refused;
    }
    const auto found = context_.catalog.workspaces().find(request.workspace);
    if (found == context_.catalog.workspaces().end()) {
        refusal = not_run_answer(404, "unknown workspace");
        return refused;
    }
    bool allowed = false;
    for (const core::service_id& candidate : found->second.spec.services) {
        const bool matches =
            service ? candidate == *service : context_.catalog.role_of(candidate) == role;
        if (matches) {
            request.service = candidate;
            allowed = true;
            break;
        }
    }
    if (!allowed) {
        refusal = not_run_answer(403, "the workspace has no such service");
        return refused;
    }
    const auto state = context_.services.find(request.service);
    const bool served = state != context_.services.end() && state->second->pool.usable_count() > 0;
    if (!served || context_.catalog.role_of(request.service) != role) {
        refusal =
            not_run_answer(503, "the service has no usable endpoint", no_endpoint_retry_after);
        return refused;
    }
    const std::int64_t time = std::clamp<std::int64_t>(
        parse_integer_or(received.header_value("X-Timeout-Ms"), default_request_timeout.count()), 1,
        max_request_timeout.count());
    request.deadline = core::runtime_clock::now() + std::chrono::milliseconds(time);
    request.priority = static_cast<int>(std::clamp<std::int64_t>(
        parse_integer_or(received.header_value("X-Priority"), 0), -10, 10));
    return request;
}

core::task<core::result<admission::admission_kind>>
request_handler::admit(const checked_request& request, http::response& refusal)
{
    service_state& service = context_.service(request.service);
    const core::time_point now = core::runtime_clock::now();
    const admission::admission_decision decision =
        service.gate.request(request.workspace, request.priority, request.deadline - now, now);
    core::counter_for("admissions_total",
                      "kind=\"" + std::string(admission::to_string(decision.kind)) + "\"")
        .add();
    if (decision.kind == admission::admission_kind::refused) {
        core::log_event("admission_refused")
            .field("workspace", request.workspace)
            .field("service", request.service)
            .field("reason", decision.reason)
            .field("retry_after_ms", decision.retry_after.count());
        refusal = not_run_answer(429, decision.reason,
                                 std::max(decision.retry_after, default_retry_after));
        co_return core::error{core::errc::refused, std::string(decision.reason)};
    }
    if (decision.kind != admission::admission_kind::waiting) {
        co_return decision.kind;
    }
    const std::shared_ptr<admission_wait> wait =
        std::make_shared<admission_wait>(context_.executor);
    service.waiting[decision.number] = wait;
    while (!wait->granted && !wait->expired) {
        co_await wait->changed.wait();
    }
    if (wait->expired) {
        refusal = not_run_answer(429, "deadline", default_retry_after);
        co_return core::error{core::errc::refused, "deadline"};
    }
    co_return *wait->granted;
}

void request_handler::process_waiting_requests()
{
    const core::time_point now = core::runtime_clock::now();
    for (std::pair<const core::service_id, std::unique_ptr<service_state>>& entry :
         context_.services) {
        service_state& service = *entry.second;
        for (const admission::ticket& t : service.gate.take_expired(now)) {
            service.waiting[t]->expired = true;
            service.waiting[t]->changed.notify();
            service.waiting.erase(t);
        }
        for (const admission::grant& g : service.gate.take_grants(now)) {
            service.waiting[g.number]->granted = g.kind;
            service.waiting[g.number]->changed.notify();
            service.waiting.erase(g.number);
        }
    }
}

core::task<void> request_handler::generate(http::server_connection& connection,
                                           const http::request& received)
{
    http::response refusal;
    const std::optional<std::string> service_name = received.header_value("X-Service");
    const std::optional<core::service_id> service =
        service_name ? std::optional(core::service_id(*service_name)) : std::nullopt;
    const core::result<checked_request> checked =
        check(received, service, intents::endpoint_role::engine, refusal);
    if (!checked) {
        co_await connection.reply(std::move(refusal));
        co_return;
    }
    const generation_body body = parse_generation(received.body);
    if (!body.problems.empty()) {
        http::response invalid = invalid_answer(body.problems);
        co_await connection.reply(std::move(invalid));
        co_return;
    }
    generation_request request;
    request.workspace = checked.value().workspace;
    request.service = checked.value().service;
    request.deadline = checked.value().deadline;
    request.body = received.body;
    request.fingerprint =
        admission::fingerprint(core::digest(request.workspace.str() + "\n" + received.body));
    request.prefix = core::hash64(body.prompt.substr(0, routing::prefix_bytes),
                                  core::hash64(request.workspace.str()));
    const admission::suspicion_level suspicion_level =
        context_.crashes.suspicion_of(request.fingerprint, core::runtime_clock::now());
    if (suspicion_level == admission::suspicion_level::quarantined) {
        http::response answer = not_run_answer(403, "quarantined");
        co_await connection.reply(std::move(answer));
        co_return;
    }
    const core::result<admission::admission_kind> admitted =
        co_await admit(checked.value(), refusal);
    if (!admitted) {
        co_await connection.reply(std::move(refusal));
        co_return;
    }
    request.borrowed = admitted.value() == admission::admission_kind::borrowed;
    {
        const admission_guard slot(context_, request.service, request.workspace);
        generation work(context_, agents_, crash_listener_, connection, std::move(request));
        co_await work.run();
    }
    process_waiting_requests();
}

core::task<void> request_handler::call(http::server_connection& connection,
                                       const http::request& received)
{
    const std::string_view rest = received.path().substr(call_path_prefix.size());
    const std::size_t slash = std::min(rest.find('/'), rest.size());
    const core::service_id service{std::string(rest.substr(0, slash))};
    http::response refusal;
    const core::result<checked_request> checked =
        check(received, service, intents::endpoint_role::service, refusal);
    if (!checked) {
        co_await connection.reply(std::move(refusal));
        co_return;
    }
    const core::wall_time now = core::runtime_clock::wall_now();
    actions::action_request request;
    request.workspace = checked.value().workspace;
    request.service = service;
    request.method = received.method;
    request.path = slash < rest.size() ? std::string(rest.substr(slash)) : "/";
    request.body = received.body;
    request.key = received.header_value("Idempotency-Key").value_or("");
    request.issued_at = core::wall_time(std::chrono::milliseconds(parse_integer_or(
        received.header_value("Idempotency-Issued-At"), now.time_since_epoch().count())));
    const core::result<admission::admission_kind> admitted =
        co_await admit(checked.value(), refusal);
    if (!admitted) {
        co_await connection.reply(std::move(refusal));
        co_return;
    }
    actions::action_result result;
    {
        const admission_guard slot(context_, service, request.workspace);
        const core::time_point deadline = checked.value().deadline;
        const std::int64_t issued = request.issued_at.time_since_epoch().count();
        if (request.key.empty()) {
            result = co_await calls_.run_without_key(std::move(request), deadline);
        }
        else {
            result = co_await calls_.run_with_key(std::move(request), deadline);
        }
        core::counter_for("calls_total",
                          "outcome=\"" + std::to_string(static_cast<int>(result.outcome)) + "\"")
            .add();
        http::response answer = answer_of(result);
        answer.headers.push_back({"Idempotency-Issued-At", std::to_string(issued)});
        co_await connection.reply(std::move(answer));
    }
    process_waiting_requests();
}

http::response request_handler::answer_of(const actions::action_result& result) const
{
    if (result.outcome == actions::action_outcome::not_run) {
        http::response answer = not_run_answer(503, result.reason, no_endpoint_retry_after);
        answer.headers.push_back(
            {"X-Earlier-Requests", result.no_prior_attempt ? "none" : "not_checked"});
        return answer;
    }
    if (result.outcome == actions::action_outcome::unknown) {
        return unknown_answer(504, result.reason);
    }
    http::response answer;
    answer.status = result.status;
    answer.content_type =
        result.content_type.empty() ? "application/octet-stream" : result.content_type;
    answer.body = result.body;
    answer.headers.push_back({"X-Outcome", "whole"});
    if (result.replayed) {
        answer.headers.push_back({"X-Replayed", "true"});
    }
    return answer;
}

} // namespace currantpitch::entry
