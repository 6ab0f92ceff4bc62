#include "gateway/entryroster.h"

#include "core/eventlog.h"
#include "dispatch/loadreporttiming.h"
#include "gateway/gatewayconstants.h"
#include "intents/resource.h"
#include "wire/framedconnection.h"

namespace currantpitch::gateway {

namespace {

std::optional<intents::host_spec> parse_host_spec(const objectstore::object& o)
{
    const core::result<intents::resource> r = intents::from_object(o);
    const intents::spec_report<intents::host_spec> spec =
        r ? intents::parse_host(r.value().spec) : intents::spec_report<intents::host_spec>{};
    if (!spec.spec) {
        core::log_event("host_unreadable", core::log_event::level::warning)
            .field("name", o.key.name)
            .field("reason", r ? core::to_text(spec.problems) : r.error().detail);
    }
    return spec.spec;
}

} // namespace

void entry_roster::on_listing(const std::vector<objectstore::object>& hosts, core::store_era era,
                              core::time_point now)
{
    const std::map<core::host_id, intents::host_spec> before =
        std::exchange(entries_, std::map<core::host_id, intents::host_spec>());
    for (const objectstore::object& o : hosts) {
        on_change(o);
    }
    for (const std::pair<const core::host_id, intents::host_spec>& entry : before) {
        const bool lost = era > era_ && entry.first != self_ && !entries_.contains(entry.first);
        if (lost) {
            kept_until_.try_emplace(entry.first, now + host_reregistration_period);
        }
    }
    era_ = std::max(era_, era);
    std::erase_if(kept_until_,
                  [this, now](const std::pair<const core::host_id, core::time_point>& kept) {
                      return entries_.contains(kept.first) || now >= kept.second;
                  });
    for (const std::pair<const core::host_id, core::time_point>& kept : kept_until_) {
        entries_.insert(*before.find(kept.first));
    }
}

void entry_roster::on_change(const objectstore::object& host)
{
    const core::host_id name(host.key.name);
    if (host.deleted) {
        entries_.erase(name);
        return;
    }
    const std::optional<intents::host_spec> spec = parse_host_spec(host);
    if (spec && spec->role == intents::host_role::entry) {
        entries_[name] = *spec;
    }
}

void entry_roster::on_report(const core::host_id& peer, bool ready, core::time_point now)
{
    reports_[peer] = {ready, now};
}

void entry_roster::on_peer_down(const core::host_id& peer)
{
    reports_.erase(peer);
}

std::map<core::host_id, boost::asio::ip::tcp::endpoint> entry_roster::dial_targets() const
{
    std::map<core::host_id, boost::asio::ip::tcp::endpoint> targets;
    for (const std::pair<const core::host_id, intents::host_spec>& entry : entries_) {
        const core::result<boost::asio::ip::tcp::endpoint> address =
            wire::parse_address(entry.second.peer_address);
        if (address && self_ < entry.first) {
            targets.emplace(entry.first, address.value());
        }
    }
    return targets;
}

std::vector<std::string>
entry_roster::addresses(const core::failure_domain_id& caller_failure_domain, bool self_ready,
                        core::time_point now) const
{
    const core::duration report_lifetime = std::max<core::duration>(
        peer_report_lifetime, dispatch::timing_for(entries_.size()).lifetime);
    std::vector<std::string> selected;
    std::vector<std::string> other_domains;
    for (const std::pair<const core::host_id, intents::host_spec>& entry : entries_) {
        const auto report = reports_.find(entry.first);
        const bool peer_ready = report != reports_.end() && report->second.ready &&
                                now - report->second.at <= report_lifetime;
        const bool usable = entry.first == self_ ? self_ready : peer_ready;
        if (usable) {
            (entry.second.failure_domain == caller_failure_domain ? selected : other_domains)
                .push_back(entry.second.caller_address);
        }
    }
    selected.insert(selected.end(), other_domains.begin(), other_domains.end());
    selected.resize(std::min(selected.size(), max_addresses));
    return selected;
}

std::set<core::host_id> entry_roster::registered() const
{
    std::set<core::host_id> hosts;
    for (const std::pair<const core::host_id, intents::host_spec>& entry : entries_) {
        hosts.insert(entry.first);
    }
    return hosts;
}

const intents::host_spec* entry_roster::own_spec() const
{
    const auto found = entries_.find(self_);
    return found == entries_.end() ? nullptr : &found->second;
}

} // namespace currantpitch::gateway
