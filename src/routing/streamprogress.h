#pragma once

#include "core/hashing.h"

#include <cstdint>
#include <string_view>

namespace currantpitch::routing {

/// How to handle a received token of an answer.
enum class token_decision {
    deliver,   ///< the next token in order; pass it to the caller
    duplicate, ///< already delivered to the caller
    gap,       ///< an earlier token is missing; the attempt must be abandoned
};

/// Tracks the tokens of one answer across all its attempts, so that the caller receives each token
/// once and in order.
class stream_progress {
public:
    token_decision on_token(std::uint64_t offset, std::string_view text);
    /// Returns whether all tokens of an answer with the given token count have been delivered.
    bool complete(std::uint64_t count) const { return count == delivered_; }
    /// Number of delivered tokens, which is also the offset at which another attempt resumes.
    std::uint64_t delivered() const { return delivered_; }
    std::uint64_t checksum() const { return checksum_.value(); }

private:
    std::uint64_t delivered_ = 0;
    core::answer_checksum checksum_;
};

} // namespace currantpitch::routing
