#pragma once

namespace currantpitch::overload {

/// Whether a request with this number of requests ahead of it in the queue can start in time, if
/// the number of starts until then is random with this expected value.
bool may_start_in_time(double requests_ahead, double expected_starts);

} // namespace currantpitch::overload
