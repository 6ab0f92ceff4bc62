#pragma once

#include "core/eventlog.h"
#include "objectstore/kindpoll.h"
#include "rankcontrol/agentcontext.h"
#include "rankcontrol/groupmembers.h"
#include "rankcontrol/memberregistration.h"
#include "rankcontrol/rankcontrolconstants.h"

#include <functional>

namespace currantpitch::rankcontrol {

/// Registers the group of this agent in the store and follows the registrations of the others. The
/// registration of an endpoint does not name its group, so an agent could not tell otherwise which
/// agents may lead its group. Makes no calls while the service has only one group.
template <objectstore::store_client Store>
class member_registry {
public:
    /// on_change is called with the registered groups by the address of their host.
    member_registry(
        agent_context& context, Store& store, std::uint64_t seed,
        std::function<void(std::map<boost::asio::ip::address, core::group_id>)> on_change)
        : context_(context), store_(store), on_change_(std::move(on_change)),
          feed_(store, std::string(member_kind), sink_, agent_poll_timing, seed)
    {
    }

    /// Takes the number of hosts in a listing of the service's endpoints.
    void on_host_count(std::size_t hosts, std::size_t group_size)
    {
        listings_with_more_hosts_ =
            group_size > 0 && hosts > group_size ? listings_with_more_hosts_ + 1 : 0;
        if (listings_with_more_hosts_ >= listings_before_registration && !several_groups_) {
            several_groups_ = true;
            core::log_event("service_has_several_groups")
                .field("service", context_.settings.service)
                .field("hosts", hosts)
                .field("group_size", group_size);
            core::spawn(context_.executor, feed_.run());
            core::spawn(context_.executor, keep_registered());
        }
    }

private:
    struct sink {
        member_registry& registry;
        void on_listing(const objectstore::listing& listing) { registry.on_listing(listing); }
        void on_change(const objectstore::object&) {}
        void on_confirmed_current(core::boot_time) {}
        void on_store_recovered() {}
    };

    void on_listing(const objectstore::listing& listing);
    core::task<void> keep_registered();
    core::task<void> write(member_registration own);

    agent_context& context_;
    Store& store_;
    std::function<void(std::map<boost::asio::ip::address, core::group_id>)> on_change_;
    sink sink_{*this};
    objectstore::kind_poll<Store, sink> feed_;
    int listings_with_more_hosts_ = 0;
    bool several_groups_ = false;
    bool listed_ = false;
    /// Last known registration of this agent and its revision, which is zero when there is none.
    std::optional<member_registration> registered_;
    core::revision revision_;
};

template <objectstore::store_client Store>
void member_registry<Store>::on_listing(const objectstore::listing& listing)
{
    std::map<boost::asio::ip::address, core::group_id> groups;
    bool own_found = false;
    for (const objectstore::object& o : listing.objects) {
        own_found = own_found || o.key.name == context_.settings.host.str();
        const core::result<member_registration> r = decode_registration(o.body);
        if (!r) {
            core::log_event("member_registration_unreadable", core::log_event::level::warning)
                .field("name", o.key.name)
                .field("reason", r.error().detail);
            continue;
        }
        // Listings can be older than the last write.
        if (o.key.name == context_.settings.host.str() && o.version > revision_) {
            registered_ = r.value();
            revision_ = o.version;
        }
        if (r.value().group.service == context_.settings.service) {
            groups[r.value().address] = r.value().group.group;
        }
    }
    if (!own_found && listing.at > revision_) {
        // A restored store has lost it.
        registered_.reset();
        revision_ = core::revision{};
    }
    listed_ = true;
    on_change_(std::move(groups));
}

template <objectstore::store_client Store>
core::task<void> member_registry<Store>::keep_registered()
{
    while (!context_.stopping) {
        const member_registration own{context_.own_group(),
                                      context_.settings.peer_address.address()};
        if (listed_ && !own.group.group.empty() && registered_ != own) {
            co_await write(own);
        }
        co_await core::sleep_for(registration_check_interval);
    }
}

template <objectstore::store_client Store>
core::task<void> member_registry<Store>::write(member_registration own)
{
    const objectstore::object_key key{std::string(member_kind), context_.settings.host.str()};
    const objectstore::call_context call{"rank_member",
                                         core::runtime_clock::now() + objectstore::call_timeout};
    const core::result<objectstore::object> written =
        co_await store_.put(key, encode_registration(own), revision_, call);
    if (written) {
        registered_ = own;
        revision_ = written.value().version;
        core::log_event("member_registered")
            .field("group", own.group.group)
            .field("revision", revision_);
        co_return;
    }
    core::log_event("member_registration_failed", core::log_event::level::warning)
        .field("error", core::to_string(written.error().code))
        .field("reason", written.error().detail);
    // After a conflict, a later listing has the revision to replace.
    co_await core::sleep_for(claim_retry_delay);
}

} // namespace currantpitch::rankcontrol
