#include "soak/callers.h"

#include "core/timer.h"

#include <cstdlib>

namespace currantpitch::soak {

using namespace platform::standins;

namespace {

/// Time for a connection or for an answer of the directory.
constexpr std::chrono::milliseconds contact_patience{1000};
/// Time over a route's timeout for which a caller waits, so that a late answer shows.
constexpr std::chrono::milliseconds patience_over{1500};
constexpr std::size_t most_body = 64 * 1024;
/// Shares of callers' habits.
constexpr double reuses_connection = 0.6;
constexpr double leaves_early = 0.03;
constexpr double uses_old_key = 0.06;
constexpr double uses_old_route = 0.06;

} // namespace

caller::caller(caller_world& world, judge& verdicts, std::size_t number, std::uint64_t seed)
    : world_(world), judge_(verdicts), name_("c" + std::to_string(number)), random_(seed),
      keeps_(number % 3 == 0 ? 3000 : 1000)
{
}

core::task<void> caller::run()
{
    std::exponential_distribution<double> pause(1.0 / static_cast<double>(caller_pause.count()));
    while (!world_.over) {
        co_await core::sleep_for(
            std::chrono::milliseconds(static_cast<std::int64_t>(pause(random_))));
        if (core::runtime_clock::now() - learned_ > keeps_) {
            co_await learn_addresses();
        }
        const std::optional<std::size_t> gateway = pick_gateway();
        if (gateway) {
            co_await make_call(*gateway);
        }
    }
}

core::task<void> caller::learn_addresses()
{
    for (int tries = 0; tries < 3; ++tries) {
        const gateway_place& asked = world_.gateways[random_() % world_.gateways.size()];
        const core::time_point deadline = core::runtime_clock::now() + contact_patience;
        http::client_connection c(co_await core::asio::this_coro::executor);
        if (!co_await c.connect(asked.directory, deadline)) {
            continue;
        }
        const core::result<http::response> answer = co_await c.exchange(
            encode_directory_call(world_.declared.host, asked.domain), deadline);
        if (!answer) {
            continue;
        }
        const std::vector<std::string> list = decode_directory_answer(answer.value());
        if (!list.empty()) {
            addresses_ = list;
            learned_ = core::runtime_clock::now();
            co_return;
        }
    }
}

std::optional<std::size_t> caller::pick_gateway()
{
    if (addresses_.empty()) {
        return std::nullopt;
    }
    const std::string& address = addresses_[random_() % addresses_.size()];
    for (std::size_t i = 0; i < world_.gateways.size(); ++i) {
        if (world_.gateways[i].advertised == address) {
            return i;
        }
    }
    return std::nullopt;
}

std::pair<sent_call, planned_call> caller::next_call(std::size_t gateway)
{
    const bool old_route = !world_.old_routes.empty() && chance(uses_old_route);
    const std::vector<declared_route>& routes =
        old_route ? world_.old_routes : world_.declared.routes;
    const declared_route& route = routes[random_() % routes.size()];
    const bool old_key = !world_.old_keys.empty() && chance(uses_old_key);
    const declared_workspace& w =
        world_.declared.workspaces[random_() % world_.declared.workspaces.size()];
    const std::vector<std::string>& keys = old_key ? world_.old_keys : w.keys;

    planned_call call;
    call.request = name_ + "-" + std::to_string(++made_);
    call.host = world_.declared.host;
    call.target = route.path_prefix + "x" + std::to_string(random_() % 8) + "?n=" + call.request;
    call.method = route.retry == declared_route::kind::idempotent ? "GET" : "POST";
    call.body = call.method == "POST" ? std::string(random_() % 400, 'b') : "";
    call.key = keys[random_() % keys.size()];
    call.timeout = route.timeout + patience_over;
    call.streams = route.retry == declared_route::kind::stream;
    sent_call sent{call.request, gateway,     call.method,   call.target, call.body,
                   call.key,     route.retry, route.timeout, {}};
    return {std::move(sent), std::move(call)};
}

core::task<core::result<void>> caller::reach(std::size_t gateway)
{
    const bool kept = connection_ && connected_to_ == gateway && connection_->is_open() &&
                      connection_->still_idle() && chance(reuses_connection);
    if (kept) {
        co_return core::ok();
    }
    connection_.emplace(co_await core::asio::this_coro::executor);
    connected_to_ = gateway;
    co_return co_await connection_->connect(world_.gateways[gateway].callers,
                                            core::runtime_clock::now() + contact_patience);
}

core::task<void> caller::make_call(std::size_t gateway)
{
    using namespace core::asio::experimental::awaitable_operators;
    if (!co_await reach(gateway)) {
        connection_.reset();
        co_return;
    }
    std::pair<sent_call, planned_call> made = next_call(gateway);
    made.first.at = core::runtime_clock::now();
    judge_.on_sent(made.first);
    call_end end;
    if (chance(leaves_early)) {
        end.end = call_end::how::gave_up;
        const std::chrono::milliseconds stays(random_() % 200);
        std::variant<call_end, std::monostate> first =
            co_await (exchange(made.second) || core::sleep_for(stays));
        if (first.index() == 0) {
            end = std::get<0>(first);
        }
    }
    else {
        end = co_await exchange(made.second);
    }
    end.at = core::runtime_clock::now();
    judge_.on_end(made.first.request, end);
    if (end.end != call_end::how::answered || !connection_->reusable()) {
        connection_.reset();
    }
}

core::task<call_end> caller::exchange(const planned_call& call)
{
    call_end end;
    const core::time_point deadline = core::runtime_clock::now() + call.timeout;
    if (!co_await connection_->send(encode_call(call), deadline)) {
        end.end = call_end::how::unsent;
        co_return end;
    }
    const core::result<http::response> head = co_await connection_->read_head(deadline);
    if (!head) {
        end.end = head.error().code == core::errc::timeout ? call_end::how::gave_up
                                                           : call_end::how::closed;
        if (head.error().code == core::errc::malformed) {
            end.defect = "no HTTP: " + head.error().detail;
        }
        co_return end;
    }
    const answer_marks marks = read_marks(head.value());
    end.end = call_end::how::answered;
    end.status = head.value().status;
    end.signature = marks.signature;
    if (!marks.request.empty() && marks.request != call.request) {
        end.defect = "answer to " + marks.request;
    }
    if (call.streams && end.status == 200) {
        co_await read_stream(call, deadline, end);
    }
    else {
        co_await read_plain(call, head.value(), deadline, end);
    }
    co_return end;
}

core::task<void> caller::read_plain(const planned_call& call, const http::response&,
                                    core::time_point deadline, call_end& end)
{
    const core::result<std::string> body = co_await connection_->read_rest(most_body, deadline);
    if (!body) {
        end.end =
            body.error().code == core::errc::timeout ? call_end::how::gave_up : call_end::how::cut;
        co_return;
    }
    if (end.signature && body.value() != plain_body(call.request, *end.signature)) {
        end.defect = "other body, bytes=" + std::to_string(body.value().size());
    }
}

core::task<void> caller::read_stream(const planned_call& call, core::time_point deadline,
                                     call_end& end)
{
    http::record_splitter events("\n\n");
    std::uint64_t last = call.after_event.value_or(0);
    while (true) {
        const core::result<std::string> bytes = co_await connection_->read_some(deadline);
        if (!bytes) {
            end.end = bytes.error().code == core::errc::timeout ? call_end::how::gave_up
                                                                : call_end::how::cut;
            co_return;
        }
        if (bytes.value().empty()) {
            break;
        }
        events.add(bytes.value());
        while (const std::optional<std::string> event = events.next()) {
            ++last;
            const std::string expected =
                "id: " + std::to_string(last) + "\ndata: " + event_data(call.request, last);
            if (*event != expected) {
                end.defect = "event " + std::to_string(last) + " is " + event->substr(0, 60);
            }
        }
    }
    if (last != world_.stream_events) {
        end.defect = "stream ended whole after event " + std::to_string(last);
    }
}

} // namespace currantpitch::soak
