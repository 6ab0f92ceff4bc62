#pragma once

#include "core/counters.h"
#include "core/eventlog.h"
#include "evacuation/evacuationset.h"
#include "membership/peerhub.h"
#include "objectstore/storeclient.h"
#include "proxy/proxycontext.h"
#include "wire/packer.h"
#include "wire/unpacker.h"

#include <algorithm>
#include <concepts>
#include <set>
#include <string>

namespace currantpitch::gateway {

/// Decodes the evacuation of a failure domain.
template <class D>
concept evacuation_decoder = requires(const objectstore::object& o)
{
    {
        D::decode_evacuation(o)
        } -> std::same_as<core::result<core::failure_domain_id>>;
};

/// Applies the evacuations from the store and from peers: endpoints of an evacuated failure domain
/// get no requests. Tells the peers of each change.
template <evacuation_decoder Decoder>
class evacuation_keeper {
public:
    /// The context must outlive the keeper. No endpoint gets requests until the evacuations are
    /// known.
    evacuation_keeper(proxy::proxy_context& context, membership::peer_hub& hub)
        : context_(context), hub_(hub)
    {
        context_.endpoints.await_evacuations();
    }

    void on_listing(const objectstore::listing& listing);
    void on_change(const objectstore::object& o);
    void on_confirmed_current(core::boot_time) {}
    void on_store_recovered() {}

    /// Tells a peer that has just connected all evacuations.
    void on_peer_up(const core::host_id& peer)
    {
        if (evacuations_.known()) {
            hub_.send(peer, wire::encode(evacuations_.report()));
        }
    }
    /// Handles a message of the slice evacuation. Returns false for any other type.
    bool on_message(const core::host_id& peer, std::uint8_t type, const std::string& payload);

    /// Whether a complete listing of the evacuations has been applied.
    bool listed() const { return listed_; }
    /// Whether a listing is needed to find out if evacuations from before a restore have ended.
    bool listing_needed() const { return evacuations_.listing_needed(core::runtime_clock::now()); }

private:
    static void log_unreadable(const objectstore::object& o, const core::error& e);
    void log_change(const core::failure_domain_id& domain, std::string_view event,
                    std::string_view source) const;
    /// Applies what has changed. The source is named in the log.
    void apply(std::string_view source);

    proxy::proxy_context& context_;
    membership::peer_hub& hub_;
    evacuation::evacuation_set evacuations_;
    bool listed_ = false;
    bool applied_ = false;
};

template <evacuation_decoder Decoder>
void evacuation_keeper<Decoder>::on_listing(const objectstore::listing& listing)
{
    evacuation::evacuation_versions evacuated;
    std::set<core::failure_domain_id> unreadable;
    for (const objectstore::object& o : listing.objects) {
        const core::result<core::failure_domain_id> domain = Decoder::decode_evacuation(o);
        if (domain) {
            evacuated.emplace(domain.value(), o.version);
            continue;
        }
        log_unreadable(o, domain.error());
        if (!o.key.name.empty()) {
            unreadable.insert(core::failure_domain_id(o.key.name));
        }
    }
    evacuations_.on_listing(evacuated, unreadable, listing.at, core::runtime_clock::now());
    listed_ = true;
    core::log_event("evacuations_listed")
        .field("revision", listing.at)
        .field("listed", evacuated.size())
        .field("in_force", evacuations_.evacuated().size());
    apply("store");
}

template <evacuation_decoder Decoder>
void evacuation_keeper<Decoder>::on_change(const objectstore::object& o)
{
    const core::result<core::failure_domain_id> domain =
        o.deleted ? core::result<core::failure_domain_id>(core::failure_domain_id(o.key.name))
                  : Decoder::decode_evacuation(o);
    if (!domain) {
        log_unreadable(o, domain.error());
        evacuations_.on_unreadable(core::failure_domain_id(o.key.name));
        return;
    }
    evacuations_.on_change(domain.value(), o.version, !o.deleted, core::runtime_clock::now());
    apply("store");
}

template <evacuation_decoder Decoder>
bool evacuation_keeper<Decoder>::on_message(const core::host_id& peer, std::uint8_t type,
                                            const std::string& payload)
{
    if (type != evacuation::evacuation_report_type) {
        return false;
    }
    const core::result<evacuation::evacuation_report> report =
        wire::decode<evacuation::evacuation_report>(payload);
    if (report) {
        evacuations_.on_report(report.value(), core::runtime_clock::now());
        apply(peer.str());
    }
    else {
        core::counter_for("peer_messages_malformed_total").add();
    }
    return true;
}

template <evacuation_decoder Decoder>
void evacuation_keeper<Decoder>::apply(std::string_view source)
{
    const std::set<core::failure_domain_id> before = context_.endpoints.evacuated();
    const std::set<core::failure_domain_id> evacuated = evacuations_.evacuated();
    if (!evacuations_.known() || (applied_ && before == evacuated)) {
        return;
    }
    applied_ = true;
    context_.endpoints.set_evacuated(evacuated);
    for (const std::pair<const core::endpoint_id, directory::endpoint_record>& entry :
         context_.endpoints.all()) {
        if (evacuated.contains(entry.second.failure_domain)) {
            context_.connections.drop(entry.first);
        }
    }
    context_.apply_endpoints();
    core::gauge_for("failure_domains_evacuated").set(static_cast<double>(evacuated.size()));
    for (const core::failure_domain_id& domain : evacuated) {
        if (!before.contains(domain)) {
            log_change(domain, "evacuation_in_force", source);
        }
    }
    for (const core::failure_domain_id& domain : before) {
        if (!evacuated.contains(domain)) {
            log_change(domain, "evacuation_lifted", source);
        }
    }
    if (before != evacuated) {
        hub_.send_to_all(wire::encode(evacuations_.report()));
    }
}

template <evacuation_decoder Decoder>
void evacuation_keeper<Decoder>::log_change(const core::failure_domain_id& domain,
                                            std::string_view event, std::string_view source) const
{
    const std::map<core::endpoint_id, directory::endpoint_record>& all = context_.endpoints.all();
    const auto endpoints = std::count_if(
        all.begin(), all.end(),
        [&domain](const std::pair<const core::endpoint_id, directory::endpoint_record>& e) {
            return e.second.failure_domain == domain;
        });
    // Either the name is wrong or the endpoints are not known yet.
    const bool without_effect = endpoints == 0;
    core::log_event(event,
                    without_effect ? core::log_event::level::warning : core::log_event::level::info)
        .field("failure_domain", domain)
        .field("revision", evacuations_.revision_of(domain))
        .field("endpoints", endpoints)
        .field("source", source);
}

template <evacuation_decoder Decoder>
void evacuation_keeper<Decoder>::log_unreadable(const objectstore::object& o, const core::error& e)
{
    core::counter_for("evacuations_unreadable_total").add();
    core::log_event("evacuation_unreadable", core::log_event::level::warning)
        .field("name", o.key.name)
        .field("revision", o.version)
        .field("reason", e.detail);
}

} // namespace currantpitch::gateway
