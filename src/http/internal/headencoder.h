#pragma once

#include "http/httpmessage.h"

#include <string>

namespace currantpitch::http {

// Own encoders, as Beast's container throws on fields above 64 KiB. A message's own fields about
// its framing are replaced.

/// Encodes the head of a request. A body of this length follows, in bytes; the message's own one is
/// ignored.
std::string encode_request_head(const request& message, std::size_t body_bytes);

/// How the body of a response follows its head.
enum class response_framing { with_length, chunked };

/// Encodes the head of a response. Not keep_alive announces that the connection ends.
std::string encode_response_head(const response& message, response_framing framing,
                                 bool keep_alive);

/// Whether responses with this status have no body.
bool never_has_body(unsigned status);

} // namespace currantpitch::http
