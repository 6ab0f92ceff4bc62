#include "decisions/benchreport.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace currantpitch::bench {

namespace {

void print_table(std::ostream& out, const std::vector<std::string>& columns,
                 const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    for (const std::string& c : columns) {
        widths.push_back(c.size());
    }
    for (const std::vector<std::string>& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    const auto print_row = [&out, &widths](const std::vector<std::string>& row) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            const std::string padding(widths[i] - row[i].size(), ' ');
            out << (i == 0 ? row[i] + padding : "  " + padding + row[i]);
        }
        out << "\n";
    };
    print_row(columns);
    for (const std::vector<std::string>& row : rows) {
        print_row(row);
    }
}

/// Converts numeric text to a JSON number and leaves any other text a string.
boost::json::value json_value(const std::string& text)
{
    double number = 0;
    const char* const end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end || text.empty()) {
        return boost::json::value(text);
    }
    return boost::json::value(number);
}

} // namespace

void bench_report::print(std::ostream& out, report_format format) const
{
    if (format == report_format::table) {
        print_table(out, columns_, rows_);
        return;
    }
    if (format == report_format::csv) {
        for (std::size_t i = 0; i < columns_.size(); ++i) {
            out << (i == 0 ? "" : ",") << columns_[i];
        }
        out << "\n";
        for (const std::vector<std::string>& row : rows_) {
            for (std::size_t i = 0; i < row.size(); ++i) {
                out << (i == 0 ? "" : ",") << row[i];
            }
            out << "\n";
        }
        return;
    }
    boost::json::array list;
    for (const std::vector<std::string>& row : rows_) {
        boost::json::object fields;
        for (std::size_t i = 0; i < row.size(); ++i) {
            fields[columns_[i]] = json_value(row[i]);
        }
        list.push_back(std::move(fields));
    }
    out << boost::json::serialize(list) << "\n";
}

std::string format_number(double value, int digits)
{
    char text[64];
    std::snprintf(text, sizeof text, "%.*f", digits, value);
    return text;
}

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const std::size_t index =
        static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

} // namespace currantpitch::bench
