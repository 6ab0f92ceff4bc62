#pragma once

#include "core/finding.h"

#include <boost/json.hpp>

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace currantpitch::intents {

/// Reads the fields of one JSON object and adds a finding with the field path for each field that
/// is missing, invalid or unknown.
class field_reader {
public:
    field_reader(const boost::json::object& from, std::string path, core::findings& problems);

    std::string text(std::string_view field);
    std::string text_or(std::string_view field, std::string fallback);
    std::int64_t integer(std::string_view field, std::int64_t min_value, std::int64_t max_value);
    std::int64_t integer_or(std::string_view field, std::int64_t fallback, std::int64_t min_value,
                            std::int64_t max_value);
    double number_or(std::string_view field, double fallback, double min_value, double max_value);
    bool boolean(std::string_view field);
    /// Reads a text that must be one of the choices. Returns its index, or 0 with a finding.
    std::size_t choice(std::string_view field, const std::vector<std::string_view>& choices);
    std::size_t choice_or(std::string_view field, std::size_t fallback,
                          const std::vector<std::string_view>& choices);
    std::vector<std::string> text_list(std::string_view field);

    void report(std::string_view field, std::string message);
    /// Reports every field that has not been read as unknown.
    void finish();

private:
    const boost::json::value* find(std::string_view field, bool required);

    const boost::json::object* from_;
    std::string path_;
    core::findings* problems_;
    std::set<std::string, std::less<>> read_fields_;
};

} // namespace currantpitch::intents
