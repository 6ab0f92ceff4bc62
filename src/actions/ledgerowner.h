#pragma once

#include "actions/actionsconstants.h"
#include "actions/internal/shardcodec.h"
#include "actions/ledger.h"
#include "core/counters.h"
#include "core/eventlog.h"
#include "core/notifier.h"
#include "objectstore/objectstoreconstants.h"
#include "objectstore/storeclient.h"

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

namespace currantpitch::actions {

/// Kind of the ledger's shard objects in the store.
inline constexpr std::string_view shard_kind = "LedgerShard";

/// Commits operations on one shard in groups, each group by one conditional write. Concurrent
/// owners of one shard are safe: only one conditional write succeeds, and the other owners reload
/// the shard.
template <objectstore::store_client Store>
class ledger_owner {
public:
    ledger_owner(Store& store, const core::asio::any_io_executor& executor, unsigned shard,
                 std::uint64_t seed)
        : store_(store), executor_(executor), key_{std::string(shard_kind), std::to_string(shard)},
          random_(seed)
    {
    }

    core::task<core::result<ledger_answer>> execute(ledger_operation operation,
                                                    core::time_point deadline);

private:
    struct waiting_operation {
        ledger_operation operation;
        core::notifier done;
        std::optional<core::result<ledger_answer>> answer;

        waiting_operation(const core::asio::any_io_executor& e, ledger_operation o)
            : operation(std::move(o)), done(e)
        {
        }
    };
    using group = std::vector<std::shared_ptr<waiting_operation>>;

    objectstore::call_context call(std::string_view cause) const
    {
        return {cause, core::runtime_clock::now() + objectstore::call_timeout};
    }
    core::task<void> commit_loop();
    core::task<void> commit(group members);
    core::task<core::result<void>> load();
    core::task<core::result<void>> write(std::string commit_name);
    void answer_all(const group& members, const core::result<ledger_answer>& answer);

    Store& store_;
    core::asio::any_io_executor executor_;
    objectstore::object_key key_;
    std::mt19937_64 random_;
    shard_state state_;
    core::revision version_;
    bool loaded_ = false;
    bool committing_ = false;
    core::time_point next_commit_;
    group waiting_;
};

template <objectstore::store_client Store>
core::task<core::result<ledger_answer>> ledger_owner<Store>::execute(ledger_operation operation,
                                                                     core::time_point deadline)
{
    const std::shared_ptr<waiting_operation> waiting =
        std::make_shared<waiting_operation>(executor_, std::move(operation));
    waiting_.push_back(waiting);
    if (!committing_) {
        committing_ = true;
        core::spawn(executor_, commit_loop());
    }
    while (!waiting->answer && core::runtime_clock::now() < deadline) {
        co_await waiting->done.wait_until(deadline);
    }
    if (!waiting->answer) {
        const auto pending = std::find(waiting_.begin(), waiting_.end(), waiting);
        if (pending != waiting_.end()) {
            waiting_.erase(pending);
            co_return core::error{core::errc::unavailable, "the ledger is busy"};
        }
        co_return core::error{core::errc::timeout, "the commit has not ended"};
    }
    co_return *waiting->answer;
}

template <objectstore::store_client Store>
core::task<void> ledger_owner<Store>::commit_loop()
{
    while (!waiting_.empty()) {
        core::timer commit_timer(executor_);
        if (core::runtime_clock::now() < next_commit_) {
            co_await commit_timer.wait_until(next_commit_);
        }
        next_commit_ = core::runtime_clock::now() + commit_interval;
        group members = std::exchange(waiting_, {});
        co_await commit(std::move(members));
    }
    committing_ = false;
}

template <objectstore::store_client Store>
core::task<void> ledger_owner<Store>::commit(group members)
{
    core::error last_error{core::errc::unavailable, "the platform is unavailable"};
    bool effect_may_have_occurred = false;
    for (int attempt = 0; attempt < max_commit_attempts; ++attempt) {
        if (attempt > 0) {
            co_await core::sleep_for(commit_retry_delay);
        }
        if (!loaded_) {
            const core::result<void> read = co_await load();
            if (!read) {
                last_error = read.error();
                continue;
            }
        }
        // All operations are applied to the state last read or written, and one write stores them.
        const std::uint64_t before = state_.changes();
        std::vector<ledger_answer> answers;
        for (const std::shared_ptr<waiting_operation>& member : members) {
            answers.push_back(state_.apply(member->operation, core::runtime_clock::wall_now()));
        }
        core::result<void> written = core::ok();
        if (state_.changes() != before) {
            written = co_await write(std::to_string(random_()));
        }
        if (written) {
            core::counter_for("ledger_commits_total").add();
            core::counter_for("ledger_operations_total").add(members.size());
            for (std::size_t i = 0; i < members.size(); ++i) {
                members[i]->answer = core::result<ledger_answer>(answers[i]);
                members[i]->done.notify();
            }
            co_return;
        }
        last_error = written.error();
        // Reload before the next attempt: another owner may have written, or the failed write may
        // have taken effect.
        loaded_ = false;
        effect_may_have_occurred =
            effect_may_have_occurred || objectstore::effect_unknown(last_error);
    }
    core::log_event("ledger_commit_failed", core::log_event::level::warning)
        .field("shard", key_.name)
        .field("operations", members.size())
        .field("error", core::to_string(last_error.code));
    const core::errc code =
        effect_may_have_occurred ? core::errc::timeout : core::errc::unavailable;
    answer_all(members, core::error{code, last_error.detail});
}

template <objectstore::store_client Store>
core::task<core::result<void>> ledger_owner<Store>::load()
{
    const core::result<objectstore::object> found = co_await store_.get(key_, call("ledger_read"));
    if (!found && found.error().code == core::errc::not_found) {
        state_ = shard_state();
        version_ = core::revision{};
        loaded_ = true;
        co_return core::ok();
    }
    if (!found) {
        co_return found.error();
    }
    core::result<decoded_shard> shard = decode_shard(found.value().body);
    if (!shard) {
        co_return shard.error();
    }
    state_ = std::move(shard.value().state);
    version_ = found.value().version;
    loaded_ = true;
    co_return core::ok();
}

template <objectstore::store_client Store>
core::task<core::result<void>> ledger_owner<Store>::write(std::string commit_name)
{
    const core::result<objectstore::object> written = co_await store_.put(
        key_, encode_shard(state_, commit_name), version_, call("ledger_write"));
    if (!written) {
        co_return written.error();
    }
    version_ = written.value().version;
    co_return core::ok();
}

template <objectstore::store_client Store>
void ledger_owner<Store>::answer_all(const group& members,
                                     const core::result<ledger_answer>& answer)
{
    for (const std::shared_ptr<waiting_operation>& member : members) {
        member->answer = answer;
        member->done.notify();
    }
}

} // namespace currantpitch::actions
