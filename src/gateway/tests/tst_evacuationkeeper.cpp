#include "hubprocess.h"

#include "core/eventlog.h"
#include "core/timer.h"
#include "evacuation/evacuationconstants.h"
#include "fakes/memorystore.h"
#include "gateway/evacuationkeeper.h"
#include "objectstore/kindfeed.h"

#include <deque>

using namespace currantpitch;
using namespace currantpitch::testing;
using namespace std::chrono_literals;

namespace {

const core::service_id desk("desk");
const core::endpoint_id near("i-near");
const core::endpoint_id far("i-far");
const std::string kind = "away";

// An evacuation is valid if its content is "{}".
struct plain_decoder {
    static core::result<core::failure_domain_id> decode_evacuation(const objectstore::object& o)
    {
        if (o.body != "{}") {
            return core::error{core::errc::malformed, "no object"};
        }
        return core::failure_domain_id(o.key.name);
    }
};

using keeper = gateway::evacuation_keeper<plain_decoder>;

objectstore::object object(const std::string& name, std::uint64_t revision,
                           const std::string& body = "{}")
{
    return {{kind, name}, core::revision{revision}, body, body.empty()};
}

struct entry_process {
    entry_process(core::asio::io_context& io, const std::string& name)
        : context(io.get_executor(), core::failure_domain_id("fd-near"), proxy::proxy_bounds{}, 1),
          process(io, name), evacuations(context, *process.hub)
    {
        process.hub->on_peer_up = [this](const membership::peer_hello& h) {
            evacuations.on_peer_up(h.host);
        };
        process.hub->on_message = [this](const core::host_id& peer, std::uint8_t type,
                                         const std::string& payload) {
            CHECK(evacuations.on_message(peer, type, payload));
        };
        register_endpoint(near, "fd-near");
        register_endpoint(far, "fd-far");
        context.apply_endpoints();
    }
    void register_endpoint(const core::endpoint_id& endpoint, const std::string& domain)
    {
        directory::endpoint_record record;
        record.endpoint = endpoint;
        record.service = desk;
        record.failure_domain = core::failure_domain_id(domain);
        context.endpoints.apply(record);
    }
    void list(std::uint64_t at, const std::vector<objectstore::object>& objects)
    {
        evacuations.on_listing({core::revision{at}, objects, {}});
    }
    bool usable(const core::endpoint_id& endpoint) const
    {
        return context.endpoints.usable(endpoint);
    }

    proxy::proxy_context context;
    hub_process process;
    keeper evacuations;
};

} // namespace

TEST_GROUP(evacuation_keepers)
{
    core::asio::io_context io{1};
    entry_process a{io, "a"};
    entry_process b{io, "b"};

    void setup() override
    {
        core::silence_log();
    }
};

// A gateway that starts during an evacuation must not send requests there before it knows of it.
TEST(evacuation_keepers, no_endpoint_is_used_before_the_evacuations_are_known)
{
    CHECK(!a.usable(near));
    CHECK(!a.evacuations.listed());
    a.list(7, {object("fd-far", 6)});
    CHECK(a.evacuations.listed());
    CHECK(a.usable(near));
    CHECK(!a.usable(far));
    a.evacuations.on_change(object("fd-far", 8, ""));
    CHECK(a.usable(far));
}

TEST(evacuation_keepers, malformed_objects_change_nothing)
{
    a.list(7, {object("fd-far", 6), object("", 7, "[]")});
    a.evacuations.on_change(object("fd-far", 8, "[]"));
    a.evacuations.on_change(object("fd-near", 9, "text"));
    CHECK(a.usable(near));
    CHECK(!a.usable(far));
    a.list(10, {object("fd-far", 8, "[]"), object("fd-near", 9, "text")});
    CHECK(a.usable(near));
    CHECK(!a.usable(far));
    CHECK(a.evacuations.on_message(core::host_id("b"), evacuation::evacuation_report_type, "text"));
    CHECK(!a.evacuations.on_message(core::host_id("b"), 1, "text"));
}

// A gateway whose watch has lost its answer, or that cannot reach the store.
TEST(evacuation_keepers, peers_are_told_on_connection_and_of_each_change)
{
    a.list(7, {object("fd-far", 6)});
    connect(io, a.process, b.process, core::host_id("b"));
    run_until(io, [this] { return b.usable(near) && !b.usable(far); });
    CHECK(!b.evacuations.listed());
    a.evacuations.on_change(object("fd-near", 8));
    run_until(io, [this] { return !b.usable(near) && !b.usable(far); });
    a.evacuations.on_change(object("fd-far", 9, ""));
    run_until(io, [this] { return !b.usable(near) && b.usable(far); });
}

// A request that waits for a slot must get one elsewhere, or end at once if no endpoint is left.
TEST(evacuation_keepers, waiting_requests_do_not_reach_the_failure_domain)
{
    a.list(5, {});
    dispatch::dispatch_request request;
    request.arrived = core::runtime_clock::now();
    request.deadline = request.arrived + 10s;
    dispatch::work_queue& queue = a.context.service(desk).queue;
    std::deque<dispatch::work_queue::slot> held;
    std::vector<std::string> ends;
    const auto acquire = [&]() {
        core::spawn_then(io.get_executor(), queue.acquire_slot(request),
                         [&](core::result<dispatch::work_queue::slot> slot) {
                             ends.push_back(slot ? slot.value().endpoint().str()
                                                 : std::string(core::to_string(slot.error().code)));
                             if (slot) {
                                 held.push_back(std::move(slot.value()));
                             }
                         });
    };
    for (int i = 0; i < 4; ++i) {
        acquire();
    }
    run_until(io, [&] { return ends.size() == 2 && queue.slot_scheduler().waiting() == 2; });
    a.evacuations.on_change(object("fd-far", 6));
    held.clear();
    run_until(io, [&] { return ends.size() == 3; });
    STRCMP_EQUAL("i-near", ends.back().c_str());
    a.evacuations.on_change(object("fd-near", 7));
    run_until(io, [&] { return ends.size() == 4; });
    STRCMP_EQUAL("unavailable", ends.back().c_str());
    acquire();
    run_until(io, [&] { return ends.size() == 5; });
    STRCMP_EQUAL("unavailable", ends.back().c_str());
}

// The store comes back from a copy without the evacuation, and the operator never writes it again.
TEST(evacuation_keepers, evacuation_lost_with_a_restore_ends_with_a_requested_listing)
{
    fakes::memory_store store(io.get_executor());
    objectstore::feed_timing timing;
    timing.watch_wait = 15s;
    objectstore::kind_feed<fakes::memory_store, keeper> feed(io.get_executor(), store, kind,
                                                             a.evacuations, timing, 1);
    core::spawn(io.get_executor(), feed.run());
    core::spawn(io.get_executor(), [](fakes::memory_store& s) -> core::task<void> {
        objectstore::object_key key{kind, "other"};
        objectstore::call_context call{"test", core::runtime_clock::now() + 1s};
        co_await s.put(key, "{}", core::revision{}, call);
        key.name = "fd-far";
        co_await s.put(key, "{}", core::revision{}, call);
    }(store));
    run_until(io, [this] { return a.usable(near) && !a.usable(far); });
    store.restore(core::revision{1});
    const core::time_point restored_at = core::runtime_clock::now();
    run_until(
        io,
        [&] {
            if (a.evacuations.listing_needed()) {
                feed.list_again();
            }
            return a.usable(far);
        },
        10s);
    CHECK(core::runtime_clock::now() - restored_at >= evacuation::rewrite_period);
}
