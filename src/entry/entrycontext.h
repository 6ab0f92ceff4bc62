#pragma once

#include "admission/crashtracker.h"
#include "admission/retrybudget.h"
#include "admission/sharegate.h"
#include "core/notifier.h"
#include "intents/catalog.h"
#include "intents/replica.h"
#include "routing/endpointpool.h"
#include "settings/daemonsettings.h"

#include <map>
#include <memory>
#include <random>

namespace currantpitch::entry {

/// A request that waits for admission.
struct admission_wait {
    explicit admission_wait(const core::asio::any_io_executor& executor) : changed(executor) {}
    core::notifier changed;
    std::optional<admission::admission_kind> granted;
    bool expired = false;
};

/// State of one service at this entry: its endpoints and the admission to them.
struct service_state {
    explicit service_state(std::uint64_t seed) : pool(seed) {}
    routing::endpoint_pool pool;
    admission::share_gate gate;
    std::map<admission::ticket, std::shared_ptr<admission_wait>> waiting;
};

/// State shared by the components of one entry. All of them run on one thread.
struct entry_context {
    explicit entry_context(const core::asio::any_io_executor& e, settings::daemon_settings s,
                           std::uint64_t seed)
        : executor(e), settings(std::move(s)), incarnation{seed}, random(seed)
    {
    }

    core::asio::any_io_executor executor;
    settings::daemon_settings settings;
    core::incarnation incarnation;
    std::mt19937_64 random;
    intents::catalog catalog;
    /// The stored objects from which the catalog is built.
    const intents::replica* configuration = nullptr;
    std::map<core::service_id, std::unique_ptr<service_state>> services;
    std::map<core::workspace_id, admission::retry_budget> retry_budgets;
    admission::crash_tracker crashes;
    /// Number of caller requests in progress.
    std::size_t in_flight = 0;
    bool stopping = false;
    bool refuses_new_work = false;

    service_state& service(const core::service_id& id)
    {
        std::unique_ptr<service_state>& state = services[id];
        if (!state) {
            state = std::make_unique<service_state>(random());
        }
        return *state;
    }
};

} // namespace currantpitch::entry
