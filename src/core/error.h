#pragma once

#include <boost/outcome/result.hpp>

#include <string>
#include <string_view>

namespace currantpitch::core {

/// Error categories that a caller can act on.
enum class errc {
    invalid_argument, ///< the input is invalid
    not_found,        ///< the named object does not exist
    conflict,         ///< a conditional update failed because of another write
    unavailable,      ///< the peer cannot be reached; the operation had no effect
    timeout,          ///< no response before the deadline; the effect is unknown
    closed,           ///< the connection was closed
    malformed,        ///< data from a peer cannot be decoded
    too_large,        ///< a size limit is exceeded
    refused,          ///< the peer rejected the operation; it had no effect
    stale,            ///< the sender's epoch, fence or version is outdated
    reserved,         ///< what remains is kept for more urgent requests; there was no effect
    limited,          ///< the endpoints accept no more requests for now; there was no effect
    crashed,          ///< the endpoint failed while running the request
};

/// Returns the name of the code as it appears in logs and API responses.
std::string_view to_string(errc code);

/// An error code with a human-readable detail.
struct error {
    errc code = errc::invalid_argument;
    std::string detail;
};

template <class T>
using result = boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::terminate>;

/// Returns the success value of a result<void>.
inline boost::outcome_v2::success_type<void> ok()
{
    return boost::outcome_v2::success();
}

} // namespace currantpitch::core
