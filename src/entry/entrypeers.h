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

/// Exchanges configuration, presence, demand, crash reports and ledger operations with the other
/// entries.
class entry_peers {
public:
    entry_peers(entry_context& context, objectstore::http_store& store, ledger_directory& ledger);

    void start();
    void stop();
    /// Serves a connection that another entry opened.
    core::task<void> serve(std::shared_ptr<wire::framed_connection> connection,
                           membership::peer_hello hello);

    /// Whether there is a configuration and it is as recent as the peers report.
    bool ready() const { return disseminator_.ready(); }
    /// Revision up to which the configuration is complete.
    core::revision complete() const { return disseminator_.complete(); }
    /// Local replica of the configuration.
    const intents::replica& replica() const { return disseminator_.local_replica(); }
    /// Number of entries that have the revision, and of all entries.
    intents::holder_count holding(core::revision at) const { return fleet_.holding(at); }
    /// All registered entries with their known state.
    std::vector<membership::known_entry> entries() const;
    /// Bytes sent and received in connections with peers.
    std::uint64_t bytes() const { return hub_->bytes(); }
    /// Announces to all peers that this entry is stopping.
    void announce_leaving();

    void announce_crash(const admission::crash_record& record);
    void announce_clearance(const admission::fingerprint& request);

    /// Called with the configuration objects that have been applied.
    std::function<void(const std::vector<objectstore::object>&)> on_applied;

private:
    void send_all(std::vector<intents::sync_outgoing> messages);
    void process_applied();
    void update_targets();
    bool must_watch() const;
    std::vector<intents::sync_member> members() const;
    void on_peer_up(const membership::peer_hello& peer);
    void on_peer_down(const membership::peer_hello& peer);
    void on_message(const core::host_id& from, std::uint8_t type, const std::string& payload);
    void on_crash_report(const core::host_id& from, const std::string& payload);
    void on_demand(const core::host_id& from, const std::string& payload);
    void on_presence(const core::host_id& from, const std::string& payload);
    void update_presence(const membership::peer_hello& peer, membership::presence state);
    core::task<void> report_loop();
    core::task<void> seed_loop(settings::address seed);
    void report_demand();

    entry_context& context_;
    ledger_directory& ledger_;
    intents::disseminator disseminator_;
    intents::configuration_feed<objectstore::http_store> feed_;
    std::shared_ptr<membership::peer_hub> hub_;
    membership::presence_table presence_;
    intents::fleet_view fleet_;
    std::set<core::host_id> relays_;
    std::map<core::host_id, std::uint64_t> last_demand_sequences_;
    std::uint64_t demand_sequence_;
    /// Crashes whose reports were sent or forwarded to the peers.
    std::set<std::pair<std::string, core::incarnation>> announced_crashes_;
    /// Time of the last lost connection with a peer. Initially the start time.
    core::time_point last_peer_loss_;
};

} // namespace currantpitch::entry
