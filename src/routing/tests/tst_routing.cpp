#include "core/hashing.h"
#include "routing/endpointpool.h"
#include "routing/routingconstants.h"
#include "routing/streamprogress.h"

#include "support/modelrun.h"
#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::routing;
using namespace std::chrono_literals;

namespace {

endpoint_state make_state(const std::string& name, std::uint32_t concurrency = 16)
{
    endpoint_state s;
    s.endpoint = core::endpoint_id(name);
    s.concurrency = concurrency;
    s.usable = true;
    return s;
}

const core::time_point start{1h};

endpoint_pool make_pool(std::size_t count)
{
    endpoint_pool pool(1);
    for (std::size_t i = 0; i < count; ++i) {
        endpoint_state s = make_state("e" + std::to_string(i));
        s.report = reported_load{0, start};
        pool.update(s);
    }
    return pool;
}

} // namespace

TEST_GROUP(pool){};

TEST(pool, equal_prefixes_go_to_one_endpoint_while_its_load_allows)
{
    endpoint_pool pool = make_pool(10);
    const route_request request{42, {}, false};
    const core::endpoint_id preferred = pool.choose(request, start)->endpoint;
    CHECK(pool.choose(request, start)->endpoint == preferred);
    for (int i = 0; i < 12; ++i) {
        pool.on_request_started(preferred);
    }
    const std::optional<choice> other = pool.choose(request, start);
    CHECK(other->reason != choice_reason::prefix);
}

TEST(pool, stale_report_counts_as_mean_load_and_not_as_idle)
{
    endpoint_pool pool(1);
    for (const char* name : {"a", "b", "c"}) {
        endpoint_state s = make_state(name);
        s.report = reported_load{12, start};
        pool.update(s);
    }
    endpoint_state stale = make_state("stale");
    stale.report = reported_load{0, start - report_lifetime - 1s};
    pool.update(stale);
    int stale_choices = 0;
    for (std::uint64_t i = 0; i < 400; ++i) {
        const std::uint64_t prefix = core::hash64("prompt", i);
        stale_choices += pool.choose({prefix, {}, false}, start)->endpoint.str() == "stale" ? 1 : 0;
    }
    // An endpoint that counted as idle would attract nearly all 400 requests.
    CHECK(stale_choices < 240);
}

TEST(pool, one_idle_endpoint_does_not_attract_all_requests)
{
    endpoint_pool pool(7);
    for (int i = 0; i < 10; ++i) {
        endpoint_state s = make_state("e" + std::to_string(i));
        s.report = reported_load{i == 0 ? 0U : 8U, start};
        pool.update(s);
    }
    int idle_choices = 0;
    std::mt19937_64 prefixes(3);
    for (int i = 0; i < 100; ++i) {
        const std::optional<choice> c = pool.choose({prefixes(), {}, false}, start);
        pool.on_request_started(c->endpoint);
        idle_choices += c->endpoint.str() == "e0" ? 1 : 0;
    }
    CHECK(idle_choices < 50);
}

TEST(pool, isolated_requests_do_not_share_an_endpoint)
{
    endpoint_pool pool = make_pool(2);
    const core::endpoint_id first = pool.choose({1, {}, true}, start)->endpoint;
    pool.on_request_started(first, true);
    const core::endpoint_id second = pool.choose({1, {}, true}, start)->endpoint;
    CHECK(first != second);
    pool.on_request_started(second, true);
    CHECK(!pool.choose({1, {}, true}, start).has_value());
    pool.on_request_finished(first, true);
    CHECK(pool.choose({1, {}, true}, start)->endpoint == first);
}

namespace {

// Applies random operations to a pool and checks its choices against a map of the usable endpoints.
void run_pool(testing::script& s)
{
    endpoint_pool pool(5);
    std::map<std::string, bool> usable_by_name;
    std::set<core::endpoint_id> excluded;
    while (!s.done()) {
        s.next_command();
        const std::string name(1, static_cast<char>('a' + s.choose(5)));
        switch (s.choose(6)) {
        case 0: {
            endpoint_state e = make_state(name, static_cast<std::uint32_t>(s.choose(3)));
            e.usable = s.choose(2) == 0;
            if (s.choose(2) == 0) {
                e.report = reported_load{static_cast<std::uint32_t>(s.choose(100)),
                                         start - 1s * static_cast<int>(s.choose(10))};
            }
            usable_by_name[name] = e.usable;
            pool.update(e);
            break;
        }
        case 1:
            usable_by_name.erase(name);
            pool.remove(core::endpoint_id(name));
            break;
        case 2:
            pool.on_request_started(core::endpoint_id(name), s.choose(2) == 0);
            break;
        case 3:
            pool.on_request_finished(core::endpoint_id(name), s.choose(2) == 0);
            break;
        case 4:
            excluded.insert(core::endpoint_id(name));
            break;
        default: {
            const std::optional<choice> c = pool.choose({s.choose(1000), excluded, false}, start);
            bool eligible = false;
            for (const std::pair<const std::string, bool>& entry : usable_by_name) {
                eligible = eligible ||
                           (entry.second && !excluded.contains(core::endpoint_id(entry.first)));
            }
            RC_ASSERT(c.has_value() == eligible);
            RC_ASSERT(
                (!c || (usable_by_name.at(c->endpoint.str()) && !excluded.contains(c->endpoint))));
            excluded.clear();
            break;
        }
        }
    }
}

} // namespace

TEST(pool, chooses_a_usable_endpoint_whenever_there_is_one)
{
    CHECK_TRUE(testing::check_model("pool", run_pool));
}

TEST_GROUP(streams){};

TEST(streams, caller_gets_each_token_once_and_in_order)
{
    CHECK_PROPERTY("tokens from several attempts", [](const std::vector<std::uint8_t>& offsets) {
        stream_progress progress;
        std::uint64_t expected = 0;
        for (const std::uint8_t offset : offsets) {
            const std::uint64_t o = offset % 16;
            const token_decision decision = progress.on_token(o, std::to_string(o));
            RC_ASSERT((decision == token_decision::deliver) == (o == expected));
            RC_ASSERT((decision == token_decision::gap) == (o > expected));
            expected += decision == token_decision::deliver ? 1 : 0;
            RC_ASSERT(progress.delivered() == expected);
        }
    });
}
