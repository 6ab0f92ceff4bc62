// The store is away for a second and comes back from a copy that is some seconds old, with nothing
// lost but time. Later, while it is stable, a replica leaves without reporting it: its entry is
// removed, it goes on serving for a little longer than drain_ms, and ends.

#include "smallsite.h"

#include <iostream>
#include <map>

using namespace review;

namespace {

constexpr std::chrono::milliseconds store_away = 1000ms;
/// From the return of the store to the removal: beyond contact_ms, so that the store is stable.
constexpr std::chrono::milliseconds stable_for = contact_bound + 200ms;
/// From the removal to the end of the replica: drain_ms and a little longer.
constexpr std::chrono::milliseconds serves_for = drain_bound + 300ms;
constexpr std::chrono::milliseconds sent_after_end = 1000ms;
constexpr std::size_t callers_per_gateway = 6;
constexpr std::chrono::milliseconds caller_pause = 20ms;
/// Work of a booking. Of six slots at four replicas, some three in four are in use.
constexpr std::chrono::milliseconds booking_time = 100ms;
constexpr unsigned replica_slots = 6;
constexpr std::chrono::milliseconds booking_timeout = 1500ms;
constexpr std::size_t max_body = 1024 * 1024;

class drill_case {
public:
    drill_case(asio::io_context& context, std::string program, std::string folder, bool trouble,
               record& record)
        : trouble_(trouble), record_(record),
          site_(context, std::move(program), std::move(folder), record)
    {
    }

    core::task<int> run()
    {
        declared_configuration c;
        c.version = 3;
        c.host = site_host;
        c.routes = {
            {"/book/", service_name, declared_route::kind::at_most_once, booking_timeout, 2}};
        c.workspaces = {{"alpha", {site_key}}};
        site_.configure(c, {{"max_body_bytes", max_body}, {"idle_timeout_ms", 20000}});
        for (int i = 0; i < 4; ++i) {
            const std::string name = "i-desk-" + std::to_string(i);
            endpoint_options options;
            options.endpoint = core::endpoint_id(name);
            options.slots = replica_slots;
            options.processing_time = booking_time;
            site_.add_replica(options, max_body,
                              [this, name](const arrival& a) { on_arrival(name, a); });
        }
        for (int i = 0; i < 3; ++i) {
            site_.start_gateway();
        }
        if (!co_await site_.wait_until_in_touch()) {
            co_return exit_not_run;
        }
        for (std::size_t i = 0; i < callers_per_gateway * site_.gateways().size(); ++i) {
            core::spawn(site_.executor(), call_again_and_again(i));
        }
        co_await core::sleep_for(2s);
        site_.store().copy();
        co_await core::sleep_for(3s);
        if (trouble_) {
            record_.line("store: away");
            site_.take_store_away();
            co_await core::sleep_for(store_away);
            site_.store().restore();
            site_.bring_store_back();
            record_.line("store: back from its copy, in era " +
                         std::to_string(site_.store().era().value));
            // The operator and the replicas write again; nothing of theirs was lost.
            site_.write_configuration();
            for (const std::unique_ptr<replica>& r : site_.replicas()) {
                site_.write_entry(*r);
            }
        }
        co_await core::sleep_for(stable_for);
        replica& leaving = *site_.replicas().front();
        leaving_ = leaving.name();
        site_.remove_entry(leaving);
        removed_at_ = core::runtime_clock::now();
        record_.line("store: acknowledges that " + leaving_ + " is gone");
        co_await core::sleep_for(serves_for);
        small_site::end(leaving);
        record_.line("replica " + leaving_ + ": ends");
        co_await core::sleep_for(sent_after_end);
        stopping_ = true;
        co_await core::sleep_for(booking_timeout);
        if (!site_.gateways_running() || answered_ * 2 < sent_.size()) {
            record_.line("too few answers, or a gateway has ended");
            co_return exit_not_run;
        }
        const std::string result =
            std::to_string(late_.size()) + " bookings that were sent later than " +
            std::to_string(drain_bound.count()) + " ms after the acknowledgement reached " +
            leaving_ + ", the last one sent " + std::to_string(latest_.count()) + " ms after it; " +
            std::to_string(lost_) + " of them had run there, and their callers got no success";
        record_.line(result + "; answered " + std::to_string(answered_) + " of " +
                     std::to_string(sent_.size()));
        std::cout << result << "\n";
        co_return late_.empty() ? exit_held : exit_broken;
    }

private:
    void on_arrival(const std::string& name, const arrival& a)
    {
        record_.line("replica " + name + ": " + (a.runs ? "runs " : "refuses ") + a.request);
        const auto sent = sent_.find(a.request);
        if (name != leaving_ || a.misdirected || sent == sent_.end() ||
            sent->second - removed_at_ <= drain_bound) {
            return;
        }
        late_[a.request] = late_[a.request] || a.runs;
        latest_ = std::max(latest_, std::chrono::duration_cast<std::chrono::milliseconds>(
                                        sent->second - removed_at_));
    }

    core::task<void> call_again_and_again(std::size_t number)
    {
        const std::size_t gateway = number % site_.gateways().size();
        http::client_connection connection(site_.executor());
        for (std::size_t n = 1; !stopping_; ++n) {
            if (!connection.is_open() || !connection.still_idle()) {
                connection = http::client_connection(site_.executor());
                if (!co_await connection.connect(site_.gateways()[gateway].callers,
                                                 core::runtime_clock::now() + 1s)) {
                    co_await core::sleep_for(caller_pause);
                    continue;
                }
            }
            planned_call call;
            call.request = "c" + std::to_string(number) + "-" + std::to_string(n);
            call.host = site_host;
            call.target = "/book/" + call.request;
            call.body = "booking " + call.request;
            call.key = site_key;
            call.timeout = booking_timeout;
            sent_[call.request] = core::runtime_clock::now();
            record_.line("caller: sends " + call.request + " to edge-" + std::to_string(gateway));
            const core::result<http::response> answer = co_await connection.exchange(
                encode_call(call), core::runtime_clock::now() + booking_timeout);
            record_.line("caller: " + call.request + ": " +
                         (answer ? std::to_string(answer.value().status) : "no answer"));
            const bool served = answer && answer.value().status == 200;
            const auto late = late_.find(call.request);
            answered_ += served ? 1 : 0;
            lost_ += !served && late != late_.end() && late->second ? 1 : 0;
            co_await core::sleep_for(caller_pause);
        }
    }

    bool trouble_;
    record& record_;
    small_site site_;
    std::map<std::string, core::time_point> sent_;
    std::string leaving_;
    core::time_point removed_at_;
    std::size_t answered_ = 0;
    /// The late bookings that reached the leaving replica, and whether it ran them.
    std::map<std::string, bool> late_;
    std::size_t lost_ = 0;
    std::chrono::milliseconds latest_{};
    bool stopping_ = false;
};

} // namespace

int main(int argc, char** argv)
{
    return run_case<drill_case>(argc, argv);
}
