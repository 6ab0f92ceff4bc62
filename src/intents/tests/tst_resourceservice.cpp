#include "fakes/memorystore.h"
#include "intents/resourceservice.h"

#include "support/pausedrun.h"

#include "CppUTest/TestHarness.h"

using namespace currantpitch;
using namespace currantpitch::intents;
using namespace std::chrono_literals;

namespace {

resource_draft workspace_draft(std::int64_t share, std::optional<core::revision> version = {})
{
    resource_draft draft;
    draft.kind = resource_kind::workspace;
    draft.name = "w";
    draft.version = version;
    draft.spec = {{"services", boost::json::array{"g"}}, {"share", share}};
    return draft;
}

} // namespace

TEST_GROUP(operator_writes)
{
    testing::paused_run run;
    fakes::memory_store store{run.executor()};
    resource_service<fakes::memory_store> service{store, 1};

    std::optional<write_result<resource>> apply(resource_draft draft, core::duration wait = 5s)
    {
        std::optional<write_result<resource>> outcome;
        run.spawn([](resource_service<fakes::memory_store>& s, resource_draft d,
                     std::optional<write_result<resource>>& out) -> core::task<void> {
            out = co_await s.apply(std::move(d));
        }(service, std::move(draft), outcome));
        run.advance(wait);
        return outcome;
    }
};

TEST(operator_writes, conflicting_writer_receives_the_changed_fields)
{
    const core::revision first = apply(workspace_draft(1))->value().version;
    CHECK(apply(workspace_draft(2, first))->has_value());
    const std::optional<write_result<resource>> second = apply(workspace_draft(3, first));
    CHECK(second->error().cause.code == core::errc::conflict);
    CHECK(second->error().changed == std::vector<std::string>({"spec.share"}));
    CHECK(second->error().current->spec.at("share").as_int64() == 2);
    CHECK(apply(workspace_draft(4))->error().cause.code == core::errc::conflict);
}

TEST(operator_writes, write_with_a_lost_response_is_recognised_as_accepted)
{
    store.faults.responses_to_drop = 1;
    const std::optional<write_result<resource>> outcome = apply(workspace_draft(1), 10s);
    CHECK(outcome->has_value());
    CHECK(outcome->value().generation == 1);
    CHECK(store.history().size() == 1);
}

TEST(operator_writes, outage_refuses_the_write_and_stores_nothing)
{
    store.faults.unavailable = true;
    CHECK(apply(workspace_draft(1))->error().cause.code == core::errc::unavailable);
    CHECK(store.history().empty());
}

TEST(operator_writes, read_only_kinds_are_refused)
{
    resource_draft draft = workspace_draft(1);
    draft.kind = resource_kind::host;
    CHECK(apply(std::move(draft))->error().cause.code == core::errc::invalid_argument);
}

TEST(operator_writes, equal_spec_keeps_the_generation)
{
    const resource first = apply(workspace_draft(1))->value();
    const resource second = apply(workspace_draft(1, first.version))->value();
    CHECK(second.generation == first.generation);
    CHECK(second.version > first.version);
}
