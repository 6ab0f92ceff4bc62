#include "actions/actionsconstants.h"
#include "actions/internal/shardcodec.h"
#include "actions/shardstate.h"

#include "support/rapidcheck.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::actions;

namespace {

sessions::attempt_identity attempt(std::uint64_t number)
{
    return {core::incarnation{1}, core::incarnation{2}, core::epoch{3},
            core::attempt_number{number}};
}

const core::wall_time now{std::chrono::hours(1000)};
const action_id key("k");

claim_operation claim(std::uint64_t number)
{
    return {key, action_fingerprint("f"), now, attempt(number), core::host_id("a")};
}

} // namespace

TEST_GROUP(shard)
{
    shard_state state;
};

TEST(shard, first_claim_is_kept)
{
    CHECK(state.apply(claim(1), now).record->attempt == attempt(1));
    CHECK(state.apply(claim(2), now).record->attempt == attempt(1));
}

TEST(shard, operations_of_another_attempt_change_nothing)
{
    state.apply(claim(1), now);
    state.apply(finish_operation{key, attempt(2), 200, "", "", true}, now);
    state.apply(mark_unknown_operation{key, attempt(2)}, now);
    state.apply(abandon_operation{key, attempt(2)}, now);
    state.apply(reclaim_operation{key, attempt(2), attempt(3), core::host_id("b")}, now);
    CHECK(state.records().at(key).state == record_state::claimed);
    CHECK(state.records().at(key).attempt == attempt(1));
}

TEST(shard, outcome_is_final)
{
    state.apply(claim(1), now);
    state.apply(mark_unknown_operation{key, attempt(1)}, now);
    state.apply(finish_operation{key, attempt(1), 200, "", "", true}, now);
    state.apply(abandon_operation{key, attempt(1)}, now);
    CHECK(state.records().at(key).state == record_state::not_known);
}

TEST(shard, records_expire_after_the_retention)
{
    state.apply(claim(1), now);
    state.prune(now + retention);
    CHECK(state.records().size() == 1);
    state.prune(now + retention + max_clock_skew + std::chrono::milliseconds(1));
    CHECK(state.records().empty());
    LONGS_EQUAL(0, state.bytes());
}

TEST(shard, full_shard_refuses_claims)
{
    bool full = false;
    for (int i = 0; i < 10000 && !full; ++i) {
        claim_operation o = claim(1);
        o.id = action_id("k" + std::to_string(i));
        full = state.apply(o, now).full;
    }
    CHECK(full);
    CHECK(encode_shard(state, "c").size() <= 1024 * 1024);
}

TEST(shard, body_survives_the_round_trip)
{
    CHECK_PROPERTY("round trip", [](const std::string& id, std::uint64_t wide, std::uint32_t status,
                                    bool kept) {
        shard_state original;
        action_record r;
        r.fingerprint = action_fingerprint("f");
        r.issued_at = now;
        r.state = record_state::finished;
        r.attempt = {core::incarnation{wide}, core::incarnation{~wide}, core::epoch{3},
                     core::attempt_number{4}};
        r.agent = core::host_id("a");
        r.status = status;
        r.body = "text";
        r.body_kept = kept;
        // Action identifiers are digests and consist of alphanumeric characters only.
        const action_id name(std::to_string(std::hash<std::string>()(id)));
        original.insert(name, r);
        const core::result<decoded_shard> back = decode_shard(encode_shard(original, "c1"));
        RC_ASSERT(back.has_value());
        RC_ASSERT(back.value().commit_name == "c1");
        RC_ASSERT(back.value().state.records() == original.records());
    });
}

TEST(shard, arbitrary_bodies_are_refused)
{
    CHECK_PROPERTY("arbitrary bodies",
                   [](const std::string& text) { RC_ASSERT(decode_shard(text).has_error()); });
    CHECK(decode_shard(R"({"commit":"c","records":[[1,2]]})").has_error());
}

TEST_GROUP(keys){};

TEST(keys, any_content_up_to_the_bound_is_accepted)
{
    CHECK_PROPERTY("keys", [](const std::string& text, std::uint32_t age) {
        action_request request;
        request.key = text;
        request.issued_at = now - std::chrono::milliseconds(age);
        const bool fits = !text.empty() && std::chrono::milliseconds(age) <= retention;
        RC_ASSERT(check_key(request, now).has_value() == fits);
        RC_ASSERT(id_of(request).str().size() == 32U);
    });
    action_request request;
    request.key = std::string(max_key_bytes + 1, 'x');
    request.issued_at = now;
    CHECK(check_key(request, now).error().code == core::errc::invalid_argument);
    request.key = "k";
    request.issued_at = now + std::chrono::hours(1);
    CHECK(check_key(request, now).error().code == core::errc::invalid_argument);
}

TEST(keys, equal_keys_of_two_workspaces_are_two_actions)
{
    action_request a;
    a.workspace = core::workspace_id("ab");
    a.key = "c";
    action_request b;
    b.workspace = core::workspace_id("a");
    b.key = "bc";
    CHECK(id_of(a) != id_of(b));
}
