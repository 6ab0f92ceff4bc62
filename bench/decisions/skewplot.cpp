#include "decisions/skewplot.h"

#include <algorithm>
#include <array>
#include <fstream>

namespace currantpitch::bench {

namespace {

constexpr double width = 800;
constexpr double height = 360;
constexpr double margin = 45;
constexpr std::array<const char*, 4> colours = {"#888888", "#c0392b", "#2980b9", "#27ae60"};
constexpr double max_shown_skew = 3;

} // namespace

void write_skew_plot(const std::string& path, const std::string& title,
                     const std::vector<plot_line>& lines)
{
    double max_skew = 1.1;
    std::size_t periods = 2;
    for (const plot_line& line : lines) {
        for (const double v : line.values) {
            max_skew = std::max(max_skew, std::min(v, max_shown_skew));
        }
        periods = std::max(periods, line.values.size());
    }
    std::ofstream out(path);
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << "<text x=\"" << margin << "\" y=\"20\">skew by planning period: " << title
        << "</text>\n";
    const auto y_of = [max_skew](double v) {
        return height - margin -
               (std::min(v, max_skew) - 1) / (max_skew - 1) * (height - 2 * margin);
    };
    for (int i = 0; i <= 4; ++i) {
        const double v = 1 + (max_skew - 1) * i / 4;
        out << "<text x=\"5\" y=\"" << y_of(v) + 4 << "\">" << static_cast<int>(v * 100) / 100.0
            << "</text><line x1=\"" << margin << "\" x2=\"" << width - margin << "\" y1=\""
            << y_of(v) << "\" y2=\"" << y_of(v) << "\" stroke=\"#dddddd\"/>\n";
    }
    for (std::size_t i = 0; i < lines.size(); ++i) {
        const char* const colour = colours[i % colours.size()];
        out << "<polyline fill=\"none\" stroke=\"" << colour << "\" stroke-width=\"1.5\" points=\"";
        for (std::size_t p = 0; p < lines[i].values.size(); ++p) {
            const double x = margin + static_cast<double>(p) / static_cast<double>(periods - 1) *
                                          (width - 2 * margin);
            out << x << "," << y_of(lines[i].values[p]) << " ";
        }
        out << "\"/>\n<text x=\"" << margin + 150 * static_cast<double>(i) << "\" y=\""
            << height - 12 << "\" fill=\"" << colour << "\">" << lines[i].name << "</text>\n";
    }
    out << "</svg>\n";
}

} // namespace currantpitch::bench
