#pragma once

namespace currantpitch::backpressure {

/// Bounds on the limit of an endpoint, in requests per second. An endpoint that accepts fewer still
/// gets a request now and then, whose answer shows whether its limit has changed.
inline constexpr double min_request_limit = 0.1;
inline constexpr double max_request_limit = 1e6;

} // namespace currantpitch::backpressure
