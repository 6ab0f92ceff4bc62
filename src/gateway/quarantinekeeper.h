#pragma once

#include "admission/admissionconstants.h"
#include "core/eventlog.h"
#include "core/notifier.h"
#include "gateway/gatewayconstants.h"
#include "intents/quarantinerecord.h"
#include "proxy/requestguard.h"

#include <deque>
#include <map>
#include <set>

namespace currantpitch::gateway {

/// Keeps the requests that are held back in the store. They stay held back when all entries
/// restart, and an operator lifts a hold by deleting its object.
template <objectstore::store_client Store>
class quarantine_keeper {
public:
    quarantine_keeper(const core::asio::any_io_executor& executor, Store& store,
                      proxy::request_guard& guard)
        : store_(store), guard_(guard), changed_(executor)
    {
        guard_.on_held = [this](const admission::quarantine_finding& finding) {
            cleared_.erase(finding.request);
            pending_.push_back({finding.request, finding});
            changed_.notify();
        };
        guard_.on_cleared = [this](const admission::fingerprint& request, bool by_own_answer) {
            cleared_[request] = core::runtime_clock::now();
            if (by_own_answer) {
                pending_.push_back({request, std::nullopt});
                changed_.notify();
            }
        };
    }

    /// Writes what changes until the process ends.
    core::task<void> run();

    void on_listing(const objectstore::listing& listing);
    void on_change(const objectstore::object&) {}
    void on_confirmed_current(core::boot_time) {}
    void on_store_recovered() {}

private:
    /// A quarantine to write, or to remove if it has no finding.
    struct change {
        admission::fingerprint request;
        std::optional<admission::quarantine_finding> finding;
    };

    core::task<core::result<void>> apply(change c);
    /// Whether the listing may be older than the answer that cleared the request.
    bool cleared_lately(const admission::fingerprint& request, core::time_point now) const;

    Store& store_;
    proxy::request_guard& guard_;
    core::notifier changed_;
    std::deque<change> pending_;
    std::map<admission::fingerprint, core::time_point> cleared_;
    /// Quarantines in the latest listing, and its era.
    std::set<admission::fingerprint> listed_;
    core::store_era era_{};
};

template <objectstore::store_client Store>
core::task<void> quarantine_keeper<Store>::run()
{
    while (true) {
        if (pending_.empty()) {
            co_await changed_.wait();
            continue;
        }
        change next = std::move(pending_.front());
        pending_.pop_front();
        const core::result<void> applied = co_await apply(next);
        if (!applied) {
            core::log_event("quarantine_write_failed", core::log_event::level::warning)
                .field("fingerprint", next.request)
                .field("error", core::to_string(applied.error().code));
            if (pending_.size() < max_pending_quarantines) {
                pending_.push_back(std::move(next));
            }
            co_await core::sleep_for(quarantine_retry_delay);
        }
    }
}

template <objectstore::store_client Store>
core::task<core::result<void>> quarantine_keeper<Store>::apply(change c)
{
    if (!c.finding) {
        co_return co_await intents::remove_quarantine(store_, c.request.str());
    }
    intents::quarantine_spec spec;
    spec.workspace = c.finding->workspace;
    spec.fingerprint = c.request.str();
    spec.evidence = c.finding->evidence;
    spec.expires_at = core::runtime_clock::wall_now() + admission::quarantine_lifetime;
    co_return co_await intents::write_quarantine(store_, std::move(spec), c.request.str());
}

template <objectstore::store_client Store>
bool quarantine_keeper<Store>::cleared_lately(const admission::fingerprint& request,
                                              core::time_point now) const
{
    const auto found = cleared_.find(request);
    return found != cleared_.end() && now - found->second < cleared_quarantine_memory;
}

template <objectstore::store_client Store>
void quarantine_keeper<Store>::on_listing(const objectstore::listing& listing)
{
    const core::time_point now = core::runtime_clock::now();
    std::erase_if(cleared_,
                  [this, now](const auto& entry) { return !cleared_lately(entry.first, now); });
    std::set<admission::fingerprint> listed;
    for (const objectstore::object& o : listing.objects) {
        const core::result<intents::resource> r = intents::from_object(o);
        const intents::spec_report<intents::quarantine_spec> parsed =
            r ? intents::parse_quarantine(r.value().spec)
              : intents::spec_report<intents::quarantine_spec>{};
        if (!parsed.spec) {
            core::log_event("quarantine_unreadable", core::log_event::level::warning)
                .field("name", o.key.name);
            continue;
        }
        const admission::fingerprint request(parsed.spec->fingerprint);
        if (core::runtime_clock::wall_now() >= parsed.spec->expires_at) {
            pending_.push_back({request, std::nullopt});
            changed_.notify();
            continue;
        }
        listed.insert(request);
        if (!cleared_lately(request, now)) {
            guard_.on_stored_hold(request, parsed.spec->workspace);
        }
    }
    // A store that was restored from an older copy lacks what was written since.
    if (listing.at.era == era_) {
        for (const admission::fingerprint& request : listed_) {
            if (!listed.contains(request)) {
                guard_.lift(request);
            }
        }
    }
    listed_ = std::move(listed);
    era_ = listing.at.era;
}

} // namespace currantpitch::gateway
