#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace currantpitch::bench {

enum class report_format { table, json, csv };

/// Rows of figures under named columns.
class bench_report {
public:
    explicit bench_report(std::vector<std::string> columns) : columns_(std::move(columns)) {}

    void add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
    void print(std::ostream& out, report_format format) const;

private:
    std::vector<std::string> columns_;
    std::vector<std::vector<std::string>> rows_;
};

/// The figure with so many digits after the point.
std::string figure(double value, int digits = 3);

/// Value below which the given part of the values lies; 0 for none.
double percentile(std::vector<double> values, double part);

} // namespace currantpitch::bench
