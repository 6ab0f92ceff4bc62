#pragma once

#include "admission/admissionmessages.h"
#include "entry/entrycontext.h"
#include "entry/ledgerdirectory.h"
#include "intents/configurationfeed.h"
#include "intents/disseminator.h"
#include "intents/fleetview.h"
#include "intents/synctopology.h"
#include "membership/addressanswer.h"
#include "membership/peerhub.h"
#include "membership/presencetable.h"
#include "objectstore/httpstore.h"

namespace currantpitch::entry {

/// What an entry shares with the other entries: configuration, presence, demand, crashes and the
/// ledger's operations.
class entry_peers {
public:
    entry_peers(entry_context& context, objectstore::http_store& store, ledger_directory& ledger);

    void start();
    void stop();
    /// Serves a connection that another entry opened.
    core::task<void> serve(std::shared_ptr<wire::framed_connection> connection,
                           membership::peer_hello h);

    /// Whether the configuration is as new as the peers report.
    bool ready() const { return decisions_.ready(); }
    core::revision complete() const { return decisions_.complete(); }
    const intents::replica& held() const { return decisions_.held(); }
    intents::holder_count holding(core::revision at) const { return fleet_.holding(at); }
    /// All entries with what is known of their state.
    std::vector<membership::known_entry> entries() const;
    std::uint64_t control_bytes() const { return hub_->bytes(); }
    /// Tells all peers that this entry stops.
    void announce_leaving();

    void tell_crash(const admission::crash_record& note);
    void tell_clearance(const admission::fingerprint& request);

    /// Called with objects that have come into force.
    std::function<void(const std::vector<objectstore::object>&)> on_applied;

private:
    void send_all(std::vector<intents::sync_outgoing> messages);
    void take_applied();
    void retarget();
    bool must_watch() const;
    std::vector<intents::sync_member> members() const;
    void on_up(const membership::peer_hello& peer);
    void on_down(const membership::peer_hello& peer);
    void on_message(const core::host_id& from, std::uint8_t type, const std::string& payload);
    void on_crash_report(const core::host_id& from, const std::string& payload);
    void on_demand(const core::host_id& from, const std::string& payload);
    void on_presence(const core::host_id& from, const std::string& payload);
    void observe(const membership::peer_hello& peer, membership::presence state);
    core::task<void> report_loop();
    core::task<void> seed_loop(settings::address seed);
    void report_demand();

    entry_context& context_;
    ledger_directory& ledger_;
    intents::disseminator decisions_;
    intents::configuration_feed<objectstore::http_store> feed_;
    std::shared_ptr<membership::peer_hub> hub_;
    membership::presence_table presence_;
    intents::fleet_view fleet_;
    std::set<core::host_id> relays_;
    std::map<core::host_id, std::uint64_t> demand_seen_;
    std::uint64_t demand_sequence_;
    std::set<std::pair<std::string, core::incarnation>> crashes_told_;
    core::time_point alone_since_;
};

} // namespace currantpitch::entry
