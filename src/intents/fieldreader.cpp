#include "intents/fieldreader.h"

#include <cmath>
#include <sstream>

namespace currantpitch::intents {

namespace json = boost::json;

field_reader::field_reader(const json::object& from, std::string path, core::findings& problems)
    : from_(&from), path_(std::move(path)), problems_(&problems)
{
}

const json::value* field_reader::find(std::string_view field, bool required)
{
    read_fields_.emplace(field);
    const json::value* const value = from_->if_contains(field);
    if (value == nullptr && required) {
        report(field, "is missing");
    }
    return value;
}

std::string field_reader::text(std::string_view field)
{
    const json::value* const value = find(field, true);
    if (value == nullptr) {
        return "";
    }
    if (!value->is_string() || value->as_string().empty()) {
        report(field, "must be a text that is not empty");
        return "";
    }
    return std::string(value->as_string());
}

std::string field_reader::text_or(std::string_view field, std::string fallback)
{
    return find(field, false) == nullptr ? std::move(fallback) : text(field);
}

std::int64_t field_reader::integer(std::string_view field, std::int64_t min_value,
                                   std::int64_t max_value)
{
    if (find(field, true) == nullptr) {
        return min_value;
    }
    return integer_or(field, min_value, min_value, max_value);
}

std::int64_t field_reader::integer_or(std::string_view field, std::int64_t fallback,
                                      std::int64_t min_value, std::int64_t max_value)
{
    const json::value* const value = find(field, false);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_int64() || value->as_int64() < min_value || value->as_int64() > max_value) {
        report(field, "must be a whole number from " + std::to_string(min_value) + " to " +
                          std::to_string(max_value));
        return fallback;
    }
    return value->as_int64();
}

double field_reader::number_or(std::string_view field, double fallback, double min_value,
                               double max_value)
{
    const json::value* const value = find(field, false);
    if (value == nullptr) {
        return fallback;
    }
    const double number = value->is_number() ? value->to_number<double>() : std::nan("");
    if (!(number >= min_value && number <= max_value)) {
        std::ostringstream message;
        message << "must be a number from " << min_value << " to " << max_value;
        report(field, message.str());
        return fallback;
    }
    return number;
}

bool field_reader::boolean(std::string_view field)
{
    const json::value* const value = find(field, true);
    if (value == nullptr) {
        return false;
    }
    if (!value->is_bool()) {
        report(field, "must be true or false");
        return false;
    }
    return value->as_bool();
}

std::size_t field_reader::choice(std::string_view field,
                                 const std::vector<std::string_view>& choices)
{
    if (find(field, true) == nullptr) {
        return 0;
    }
    return choice_or(field, 0, choices);
}

std::size_t field_reader::choice_or(std::string_view field, std::size_t fallback,
                                    const std::vector<std::string_view>& choices)
{
    const json::value* const value = find(field, false);
    if (value == nullptr) {
        return fallback;
    }
    std::string alternatives;
    for (std::size_t i = 0; i < choices.size(); ++i) {
        if (value->is_string() && std::string_view(value->as_string()) == choices[i]) {
            return i;
        }
        alternatives += (i == 0 ? "" : " or ") + std::string(choices[i]);
    }
    report(field, "must be " + alternatives);
    return fallback;
}

std::vector<std::string> field_reader::text_list(std::string_view field)
{
    std::vector<std::string> found;
    const json::value* const value = find(field, true);
    if (value == nullptr) {
        return found;
    }
    if (!value->is_array() || value->as_array().empty()) {
        report(field, "must be a list that is not empty");
        return found;
    }
    for (const json::value& item : value->as_array()) {
        if (!item.is_string() || item.as_string().empty()) {
            report(field, "must hold texts that are not empty");
            continue;
        }
        found.emplace_back(item.as_string());
    }
    return found;
}

void field_reader::report(std::string_view field, std::string message)
{
    problems_->push_back({path_ + std::string(field), std::move(message)});
}

void field_reader::finish()
{
    for (const json::key_value_pair& entry : *from_) {
        if (!read_fields_.contains(std::string_view(entry.key()))) {
            report(entry.key(), "is not a known field");
        }
    }
}

} // namespace currantpitch::intents
