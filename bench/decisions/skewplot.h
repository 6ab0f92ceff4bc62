#pragma once

#include <string>
#include <vector>

namespace currantpitch::bench {

/// One line of a plot with a value for each planning period.
struct plot_line {
    std::string name;
    std::vector<double> values;
};

/// Writes an SVG plot of the skew over time with one line for each policy.
void write_skew_plot(const std::string& path, const std::string& title,
                     const std::vector<plot_line>& lines);

} // namespace currantpitch::bench
