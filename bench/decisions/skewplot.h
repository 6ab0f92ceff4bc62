#pragma once

#include <string>
#include <vector>

namespace currantpitch::bench {

/// One line of a plot: a value for each period.
struct plot_line {
    std::string name;
    std::vector<double> values;
};

/// Writes an SVG file with skew over time, one line for each policy.
void write_skew_plot(const std::string& path, const std::string& title,
                     const std::vector<plot_line>& lines);

} // namespace currantpitch::bench
