#pragma once

#include "core/finding.h"

#include <boost/json.hpp>

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace currantpitch::intents {

/// Reads the fields of one JSON object and collects what is wrong with them, with field paths.
/// Fields that were not asked for are findings.
class field_reader {
public:
    field_reader(const boost::json::object& from, std::string path, core::findings& problems);

    std::string text(std::string_view field);
    std::int64_t integer(std::string_view field, std::int64_t smallest, std::int64_t largest);
    std::int64_t integer_or(std::string_view field, std::int64_t fallback, std::int64_t smallest,
                            std::int64_t largest);
    double number_or(std::string_view field, double fallback, double smallest, double largest);
    bool boolean(std::string_view field);
    /// A text that must be one of the choices; returns its index, or 0 with a finding.
    std::size_t choice(std::string_view field, const std::vector<std::string_view>& choices);
    std::size_t choice_or(std::string_view field, std::size_t fallback,
                          const std::vector<std::string_view>& choices);
    std::vector<std::string> texts(std::string_view field);

    void report(std::string_view field, std::string message);
    /// Reports the fields that were never asked for.
    void finish();

private:
    const boost::json::value* find(std::string_view field, bool required);

    const boost::json::object* from_;
    std::string path_;
    core::findings* problems_;
    std::set<std::string, std::less<>> asked_;
};

} // namespace currantpitch::intents
