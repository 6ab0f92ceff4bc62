#pragma once

#include "core/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace currantpitch::proxy {

/// Id of a server-sent event, from its "id:" line; nothing without a whole number there.
std::optional<std::uint64_t> event_id(std::string_view event);

/// Cuts an endpoint's stream into whole events and puts the streams of several attempts together:
/// events that were taken already are dropped, and a gap breaks the attempt. Ids rise by one. What
/// was taken stays here until it has been sent, so that the end of an attempt loses nothing.
class event_sequence {
public:
    /// The last event that the caller has, if it has any.
    explicit event_sequence(std::optional<std::uint64_t> last) : last_(last) {}

    /// A new attempt begins; what it sent in part is dropped.
    void begin_attempt() { buffer_.clear(); }
    /// Takes bytes of the present attempt. errc::malformed for a gap, errc::too_large for an
    /// endless event; the whole events before it have been taken.
    core::result<void> take(std::string_view bytes);
    /// Whether the attempt ended between two events.
    bool at_boundary() const { return buffer_.empty(); }
    /// Events that are to be sent to the caller, in order.
    const std::string& unsent() const { return unsent_; }
    /// They were handed over.
    void on_sent() { unsent_.clear(); }

    std::optional<std::uint64_t> last() const { return last_; }
    /// New events so far.
    std::uint64_t count() const { return count_; }

private:
    core::result<bool> is_new(std::string_view event);

    std::string buffer_;
    std::string unsent_;
    std::optional<std::uint64_t> last_;
    std::uint64_t count_ = 0;
};

} // namespace currantpitch::proxy
