#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace currantpitch::bench {

enum class report_format { table, json, csv };

/// A table of results with named columns.
class bench_report {
public:
    explicit bench_report(std::vector<std::string> columns) : columns_(std::move(columns)) {}

    void add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
    void print(std::ostream& out, report_format format) const;

private:
    std::vector<std::string> columns_;
    std::vector<std::vector<std::string>> rows_;
};

/// Formats a value with a fixed number of digits after the decimal point.
std::string format_number(double value, int digits = 3);

/// Returns the value at a fraction of the sorted values, such as 0.95. Returns 0 for an empty list.
double percentile(std::vector<double> values, double fraction);

} // namespace currantpitch::bench
