#include "core/counters.h"

#include <algorithm>
#include <compare>
#include <map>
#include <sstream>
#include <utility>

namespace currantpitch::core {

namespace {

struct series_key {
    std::string name;
    std::string label;

    friend std::strong_ordering operator<=>(const series_key&, const series_key&) = default;
};

template <class Series>
std::map<series_key, Series>& registry()
{
    static std::map<series_key, Series> instance;
    return instance;
}

template <class Series>
void write_series(std::ostringstream& out, std::string_view type)
{
    std::string previous_name;
    for (const std::pair<const series_key, Series>& entry : registry<Series>()) {
        if (entry.first.name != previous_name) {
            out << "# TYPE currantpitch_" << entry.first.name << ' ' << type << '\n';
            previous_name = entry.first.name;
        }
        out << "currantpitch_" << entry.first.name;
        if (!entry.first.label.empty()) {
            out << '{' << entry.first.label << '}';
        }
        out << ' ' << entry.second.value() << '\n';
    }
}

void write_histograms(std::ostringstream& out)
{
    for (const std::pair<const series_key, histogram>& entry : registry<histogram>()) {
        const std::string name = "currantpitch_" + entry.first.name;
        const std::string label = entry.first.label;
        const std::string separator = label.empty() ? "" : ",";
        const std::string label_set = label.empty() ? "" : "{" + label + "}";
        std::uint64_t total = 0;
        for (std::size_t i = 0; i < entry.second.counts().size(); ++i) {
            total += entry.second.counts()[i];
            const std::string bound =
                i < histogram::bounds_ms.size() ? std::to_string(histogram::bounds_ms[i]) : "+Inf";
            out << name << "_bucket{" << label << separator << "le=\"" << bound << "\"} " << total
                << '\n';
        }
        out << name << "_sum" << label_set << ' '
            << std::chrono::duration_cast<std::chrono::milliseconds>(entry.second.sum()).count()
            << '\n';
        out << name << "_count" << label_set << ' ' << total << '\n';
    }
}

} // namespace

counter& counter_for(std::string_view name, std::string_view label)
{
    return registry<counter>()[series_key{std::string(name), std::string(label)}];
}

gauge& gauge_for(std::string_view name, std::string_view label)
{
    return registry<gauge>()[series_key{std::string(name), std::string(label)}];
}

void histogram::add(std::chrono::nanoseconds d)
{
    const std::int64_t ms = std::chrono::ceil<std::chrono::milliseconds>(d).count();
    const auto bound = std::lower_bound(bounds_ms.begin(), bounds_ms.end(), ms);
    ++counts_[static_cast<std::size_t>(bound - bounds_ms.begin())];
    sum_ += d;
}

histogram& histogram_for(std::string_view name, std::string_view label)
{
    return registry<histogram>()[series_key{std::string(name), std::string(label)}];
}

std::string metrics_text()
{
    std::ostringstream out;
    write_series<counter>(out, "counter");
    write_series<gauge>(out, "gauge");
    write_histograms(out);
    return out.str();
}

} // namespace currantpitch::core
