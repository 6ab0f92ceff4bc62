#pragma once

#include "core/counters.h"
#include "core/eventlog.h"
#include "gateway/entryroster.h"
#include "gateway/siteplatform.h"
#include "proxy/proxycontext.h"

#include <functional>

namespace currantpitch::gateway {

/// Applies the operator's configuration from the store.
template <site_platform Site>
class configuration_sink {
public:
    configuration_sink(proxy::proxy_context& context, std::function<void()> on_change)
        : context_(context), on_change_(std::move(on_change))
    {
    }

    void on_listing(const objectstore::listing& listing)
    {
        for (const objectstore::object& o : listing.objects) {
            apply(o, listing.current_as_of);
        }
        on_listed();
    }
    void on_change(const objectstore::object& o) { apply(o, {}); }
    /// While the newest configuration is unreadable, the one in force is not known to be current,
    /// so that its keys are no longer accepted beyond the revocation time.
    void on_confirmed_current(core::boot_time t)
    {
        if (!newest_unreadable_) {
            context_.configuration.confirm_current(t);
        }
    }
    void on_store_recovered() {}
    /// Applies the configuration that a peer has in force if it is newer.
    void apply_copy(const std::string& text, const core::host_id& peer)
    {
        if (apply_text(text, {}) == reading::applied) {
            core::log_event event("configuration_copied");
            add_state(event);
            event.field("peer", peer);
        }
    }

    /// Version of the configuration in force; zero if there is none.
    routes::configuration_version version() const
    {
        return context_.configuration.known() ? context_.configuration.table()->version()
                                              : routes::configuration_version{};
    }
    /// Text of the configuration in force.
    const std::string& text() const { return text_; }

    /// Is called after a listing has been applied.
    std::function<void()> on_listed = [] {
    };

private:
    void apply(const objectstore::object& o, core::boot_time current_as_of)
    {
        if (o.deleted || o.key != Site::configuration_key()) {
            return;
        }
        const reading result = apply_text(o.body, current_as_of);
        newest_unreadable_ = result == reading::unreadable;
        core::gauge_for("configuration_unreadable").set(newest_unreadable_ ? 1 : 0);
        if (result == reading::applied) {
            core::log_event event("configuration_in_force");
            add_state(event);
            event.field("revision", o.version);
        }
    }
    enum class reading { unreadable, not_newer, applied };
    reading apply_text(const std::string& text, core::boot_time current_as_of)
    {
        core::result<routes::configuration> decoded = Site::decode_configuration(text);
        if (!decoded) {
            core::log_event("configuration_unreadable", core::log_event::level::error)
                .field("in_force", version())
                .field("reason", decoded.error().detail);
            return reading::unreadable;
        }
        if (!context_.configuration.apply(std::move(decoded.value()), current_as_of)) {
            return reading::not_newer;
        }
        text_ = text;
        const routes::access access = context_.configuration.table()->access_to_routes();
        core::gauge_for("access_closed").set(access == routes::access::closed ? 1 : 0);
        on_change_();
        return reading::applied;
    }
    /// Adds what is in force.
    void add_state(core::log_event& event) const
    {
        const routes::route_table& table = *context_.configuration.table();
        event.field("version", table.version())
            .field("routes", table.route_count())
            .field("access", routes::to_string(table.access_to_routes()))
            .field("workspaces", table.workspace_count())
            .field("workspaces_unreadable", table.unreadable_workspace_count());
    }

    proxy::proxy_context& context_;
    std::function<void()> on_change_;
    std::string text_;
    /// The store's newest configuration could not be read.
    bool newest_unreadable_ = false;
};

/// Applies the registered endpoints from the store.
template <site_platform Site>
class endpoint_sink {
public:
    explicit endpoint_sink(proxy::proxy_context& context) : context_(context) {}

    void on_listing(const objectstore::listing& listing)
    {
        std::vector<directory::endpoint_record> records;
        for (const objectstore::object& o : listing.objects) {
            const core::result<directory::endpoint_record> r = decode(o);
            if (r) {
                const core::time_point now = core::runtime_clock::now();
                if (listed_) {
                    context_.cold_times.on_registered(r.value(), o.version, now);
                }
                else {
                    context_.cold_times.on_first_listing(r.value(), o.version, now);
                }
                records.push_back(r.value());
            }
        }
        const core::time_point now = core::runtime_clock::now();
        if (listed_ && listing.at.era > era_) {
            context_.endpoints.on_store_restored(now);
        }
        era_ = listing.at.era;
        context_.endpoints.on_listing(records, now);
        listed_ = true;
        context_.apply_endpoints();
        core::log_event("endpoints_listed")
            .field("revision", listing.at)
            .field("endpoints", records.size())
            .field("missing", context_.endpoints.missing_count());
    }
    void on_change(const objectstore::object& o)
    {
        const core::endpoint_id name(o.key.name);
        const directory::endpoint_record* const before = context_.endpoints.find(name);
        const core::result<directory::endpoint_record> r =
            o.deleted ? core::result<directory::endpoint_record>(
                            core::error{core::errc::not_found, "removed"})
                      : decode(o);
        if (r) {
            context_.cold_times.on_registered(r.value(), o.version, core::runtime_clock::now());
        }
        const bool changed = r ? before == nullptr || !(*before == r.value()) : before != nullptr;
        if (!changed) {
            context_.apply_cold_times();
            return;
        }
        if (r) {
            context_.endpoints.apply(r.value());
        }
        else {
            context_.endpoints.on_removal(name, core::runtime_clock::now());
        }
        const bool usable = context_.endpoints.usable(name);
        core::log_event("endpoint_changed")
            .field("endpoint", name)
            .field("revision", o.version)
            .field("state", !r                   ? "gone"
                            : r.value().draining ? "draining"
                                                 : "ready")
            .field("usable", usable);
        if (!usable) {
            context_.connections.drop(name);
        }
        context_.apply_endpoints();
    }
    void on_confirmed_current(core::boot_time) {}
    void on_store_recovered() { context_.endpoints.on_store_recovered(core::runtime_clock::now()); }

    /// Whether a complete listing of the endpoints has been applied.
    bool listed() const { return listed_; }

private:
    static core::result<directory::endpoint_record> decode(const objectstore::object& o)
    {
        core::result<directory::endpoint_record> r = Site::decode_endpoint(o);
        if (!r) {
            core::log_event("endpoint_unreadable", core::log_event::level::warning)
                .field("name", o.key.name)
                .field("revision", o.version)
                .field("reason", r.error().detail);
        }
        return r;
    }

    proxy::proxy_context& context_;
    bool listed_ = false;
    /// Era of the latest listing.
    core::store_era era_{};
};

/// Updates the roster of registered entries from the store.
class host_sink {
public:
    host_sink(entry_roster& roster, std::function<void()> on_change)
        : roster_(roster), on_change_(std::move(on_change))
    {
    }

    void on_listing(const objectstore::listing& listing)
    {
        roster_.on_listing(listing.objects, listing.at.era, core::runtime_clock::now());
        on_change_();
    }
    void on_change(const objectstore::object& o)
    {
        roster_.on_change(o);
        on_change_();
    }
    void on_confirmed_current(core::boot_time) {}
    void on_store_recovered() {}

private:
    entry_roster& roster_;
    std::function<void()> on_change_;
};

} // namespace currantpitch::gateway
