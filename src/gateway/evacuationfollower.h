#pragma once

#include "gateway/evacuationkeeper.h"
#include "gateway/gatewayconstants.h"
#include "gateway/siteplatform.h"
#include "objectstore/kindfeed.h"

#include <optional>

namespace currantpitch::gateway {

/// Follows the evacuations in the store and in the peers' reports, where the settings name a time
/// within which they must take effect. Without that time it does nothing.
template <site_platform Site>
class evacuation_follower {
public:
    evacuation_follower(const core::asio::any_io_executor& executor, typename Site::store& store,
                        proxy::proxy_context& context, membership::peer_hub& hub,
                        std::optional<std::chrono::milliseconds> evacuation_time,
                        std::uint64_t seed)
    {
        if (!evacuation_time) {
            return;
        }
        objectstore::feed_timing timing;
        timing.watch_wait = evacuation_watch_wait;
        timing.min_repeat_interval = std::chrono::duration_cast<std::chrono::milliseconds>(
            *evacuation_time * evacuation_repeat_fraction);
        keeper_.emplace(context, hub);
        feed_.emplace(executor, store, Site::evacuation_kind(), *keeper_, timing, seed);
    }

    /// Follows the store until the process ends.
    core::task<void> run()
    {
        if (feed_) {
            co_await feed_->run();
        }
    }
    /// Takes hints from a feed with short calls; see objectstore::kind_feed.
    void on_store_progress(core::revision at)
    {
        if (feed_) {
            feed_->on_store_progress(at);
        }
    }
    void on_store_doubtful()
    {
        if (feed_) {
            feed_->on_store_doubtful();
        }
    }
    void on_peer_up(const core::host_id& peer)
    {
        if (keeper_) {
            keeper_->on_peer_up(peer);
        }
    }
    /// Handles a message of the slice evacuation. Returns false for any other type.
    bool on_message(const core::host_id& peer, std::uint8_t type, const std::string& payload)
    {
        return keeper_ && keeper_->on_message(peer, type, payload);
    }
    /// Asks for a listing that shows whether evacuations from before a restore have ended.
    void update()
    {
        if (keeper_ && keeper_->listing_needed()) {
            feed_->list_again();
        }
    }
    /// Whether the evacuations are known, as far as they are followed.
    bool ready() const { return !keeper_ || keeper_->listed(); }

private:
    std::optional<evacuation_keeper<Site>> keeper_;
    std::optional<objectstore::kind_feed<typename Site::store, evacuation_keeper<Site>>> feed_;
};

} // namespace currantpitch::gateway
