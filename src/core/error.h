#pragma once

#include <boost/outcome/result.hpp>

#include <string>
#include <string_view>

namespace currantpitch::core {

/// What went wrong, in terms that a caller can act on.
enum class errc {
    invalid_argument, ///< the input itself is wrong
    not_found,        ///< the named object does not exist
    conflict,         ///< a conditional update lost against another writer
    unavailable,      ///< the other side cannot be reached; nothing happened
    timeout,          ///< no answer within the deadline; the effect is not known
    closed,           ///< the connection ended
    malformed,        ///< bytes from a peer that do not decode
    too_large,        ///< a stated size bound is exceeded
    refused,          ///< the other side declined; nothing happened
    stale,            ///< the sender's epoch, fence or version is behind
    crashed,          ///< the endpoint died while running the request
};

/// Name of the code as written in logs and API answers.
std::string_view to_string(errc code);

/// An error with its code and a detail for people.
struct error {
    errc code = errc::invalid_argument;
    std::string detail;
};

template <class T>
using result = boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::terminate>;

/// Value of a result<void> that succeeded.
inline boost::outcome_v2::success_type<void> ok()
{
    return boost::outcome_v2::success();
}

} // namespace currantpitch::core
