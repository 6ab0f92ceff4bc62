#pragma once

#include "core/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace currantpitch::proxy {

/// Id of a server-sent event from its "id:" line. Returns nullopt without a decimal integer there.
std::optional<std::uint64_t> event_id(std::string_view event);

/// Splits an endpoint's stream into complete events and joins the streams of several attempts. Ids
/// increase by one. Events that were already received are dropped, and a gap in the ids is an error
/// that ends the attempt. Events are buffered until they are sent, so none is lost when an attempt
/// ends.
class event_sequence {
public:
    /// Takes the id of the last event that the caller has received, if any.
    explicit event_sequence(std::optional<std::uint64_t> last_id) : last_id_(last_id) {}

    /// Begins a new attempt and discards the incomplete event of the previous one.
    void begin_attempt() { buffer_.clear(); }
    /// Appends bytes of the current attempt. Fails with errc::malformed for a gap or an event
    /// without an id, and with errc::too_large for an oversized event. The complete events before
    /// it are kept.
    core::result<void> append(std::string_view bytes);
    /// Whether the received bytes end at an event boundary.
    bool at_boundary() const { return buffer_.empty(); }
    /// Events that have not been sent to the caller yet, in order.
    const std::string& unsent() const { return unsent_; }
    /// Clears the unsent events after they were sent.
    void on_sent() { unsent_.clear(); }

    /// Id of the last event that was received, or that the caller had before.
    std::optional<std::uint64_t> last_id() const { return last_id_; }
    /// Number of events that were received, without duplicates.
    std::uint64_t new_event_count() const { return new_event_count_; }

private:
    core::result<bool> is_new(std::string_view event);

    std::string buffer_;
    std::string unsent_;
    std::optional<std::uint64_t> last_id_;
    std::uint64_t new_event_count_ = 0;
};

} // namespace currantpitch::proxy
